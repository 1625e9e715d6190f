/** Responses that several endpoints of the admin API share, and the parsing of request bodies. */
import { type ClientResponse, jsonResponse } from "../proxy/request-outcome.js";

/** Sent with errors after which a retry may succeed; an election is over after this number of seconds. */
export const RETRY_AFTER_HEADER = { "retry-after": "1" };

/** An error response with a JSON body that holds the message and any further fields. */
export const errorResponse = (
  code: number,
  error: string,
  fields: Record<string, unknown> = {},
): ClientResponse => jsonResponse(code, { error, ...fields });

/** A response with the leader's JSON, byte for byte. */
export const forwardedResponse = (text: string): ClientResponse => ({
  code: 200,
  headers: { "content-type": "application/json" },
  body: Buffer.from(`${text}\n`),
});

/** The response if no leader could be reached. The result is unknown, so this is never a final refusal. */
export const noLeaderResponse = (): ClientResponse =>
  jsonResponse(503, { error: "No leader could be reached." }, RETRY_AFTER_HEADER);

/** The response to a change whose outcome is unknown: it may have been applied. */
export const unknownOutcomeResponse = (changeId: string): ClientResponse =>
  jsonResponse(
    504,
    {
      error:
        "The outcome of this change is unknown. Retry it with the same Change-Id, or read the config.",
      changeId,
      verdict: "mayHaveRun",
    },
    RETRY_AFTER_HEADER,
  );

/** The JSON value of a request body; undefined where the body is not JSON. */
export const parseJsonBody = (body: Uint8Array): { value: unknown } | undefined => {
  try {
    const value: unknown = JSON.parse(Buffer.from(body).toString("utf8"));
    return { value };
  } catch {
    return undefined;
  }
};
