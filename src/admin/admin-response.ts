/** Responses of the admin API that several endpoints share, and the parsing of request bodies. */
import { type ClientResponse, jsonResponse } from "../proxy/request-outcome.js";

/** Sent where a retry may succeed: an election is over after this many seconds. */
export const RETRY_AFTER_HEADER = { "retry-after": "1" };

/** An error response with a JSON body of the message and any further fields. */
export const errorResponse = (
  code: number,
  error: string,
  fields: Record<string, unknown> = {},
): ClientResponse => jsonResponse(code, { error, ...fields });

/** The leader's JSON passed on byte for byte. */
export const forwardedResponse = (text: string): ClientResponse => ({
  code: 200,
  headers: { "content-type": "application/json" },
  body: Buffer.from(`${text}\n`),
});

/** No leader could be reached, so nothing is known about the request's subject; never a refusal. */
export const noLeaderResponse = (): ClientResponse =>
  jsonResponse(503, { error: "No leader could be asked." }, RETRY_AFTER_HEADER);

/** A change whose outcome is unknown: it may have been applied. */
export const unknownOutcomeResponse = (changeId: string): ClientResponse =>
  jsonResponse(
    504,
    {
      error:
        "Nobody could say whether this took effect. Repeat it with the same Change-Id, or read back.",
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
