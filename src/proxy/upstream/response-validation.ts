/** Validates the head of a backend's response and determines the framing of its body. */
import type { HeaderNames } from "../header-names.js";
import type { FailureCause } from "../outcome-rules.js";

/** The head of a backend's response. */
export interface ResponseHead {
  readonly code: number;
  readonly headers: Readonly<Record<string, string>>;
}

/** What the response to a request must contain. */
export interface ExpectedResponse {
  readonly headerNames: HeaderNames;
  /** The id that the backend got with the request. */
  readonly requestId: string;
  /** Name of the header in which the response repeats the id. */
  readonly echoHeader: string;
}

/** Statuses that mean that a request has not run. They are accepted only with the backend's header for that. */
const NOT_RUN_STATUSES: ReadonlySet<number> = new Set([408, 421, 429, 503]);

/**
 * Why the backend declined the request without running it, if it did. A response without a request id may state this
 * too.
 */
const findDeclineCause = (
  { code, headers }: ResponseHead,
  { headerNames: { expectedInstance, notRun }, requestId, echoHeader }: ExpectedResponse,
): FailureCause | undefined => {
  const echoedId = headers[echoHeader];
  if (echoedId !== undefined && echoedId !== requestId) return undefined;
  if (expectedInstance !== undefined && code === 421) return "otherInstance";
  return notRun !== undefined && headers[notRun] !== undefined ? "notRun" : undefined;
};

/** Why a response is not accepted; undefined if it is. */
export const findResponseHeadFault = (
  head: ResponseHead,
  expectedResponse: ExpectedResponse,
): FailureCause | undefined => {
  const { code, headers } = head;
  const { headerNames, requestId, echoHeader } = expectedResponse;
  const { seal, proof } = headerNames;
  const declined = findDeclineCause(head, expectedResponse);
  if (declined !== undefined) return declined;
  if (headers[echoHeader] !== requestId) return "otherRequest";
  if (NOT_RUN_STATUSES.has(code)) return "bareRefusal";
  if (seal !== undefined && code < 300 && headers[seal] === undefined) return "noSeal";
  const encoding = headers["content-encoding"] ?? "identity";
  return proof === "request" && encoding !== "identity" ? "encoded" : undefined;
};

/** The framing of a response's body: no body, a stated length, chunked encoding or unknown (RFC 9112, section 6.3). */
export const responseBodyFraming = (
  method: string,
  { code, headers }: ResponseHead,
): "bodiless" | { readonly lengthBytes: number } | "chunked" | "unknown" => {
  if (method === "HEAD" || code === 204 || code === 304) return "bodiless";
  if (headers["transfer-encoding"]?.toLowerCase() === "chunked") return "chunked";
  const contentLength = headers["content-length"];
  return contentLength !== undefined && /^\d{1,15}$/.test(contentLength)
    ? { lengthBytes: Number(contentLength) }
    : "unknown";
};
