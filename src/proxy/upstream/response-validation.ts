/** Whether a backend's response is accepted as the answer to its request, and how its body ends. */
import type { HeaderNames } from "../header-names.js";
import type { FailureCause } from "../outcome-rules.js";

/** The head of a backend's response. */
export interface ResponseHead {
  readonly code: number;
  readonly headers: Readonly<Record<string, string>>;
}

/** What a response has to prove to be the answer to a request. */
export interface ExpectedResponse {
  readonly headerNames: HeaderNames;
  /** The request's name toward the backend. */
  readonly requestId: string;
  /** In which header the response repeats that name. */
  readonly echoHeader: string;
}

/** Statuses that promise that a request has not run; a backend's are accepted only with its header for that. */
const NOT_RUN_STATUSES: ReadonlySet<number> = new Set([408, 421, 429, 503]);

/** How a backend states that it did not run the request; a response that names no request may state it too. */
const findDeclineCause = (
  { code, headers }: ResponseHead,
  {
    headerNames: { expectedInstance: expected, notRun },
    requestId: id,
    echoHeader,
  }: ExpectedResponse,
): FailureCause | undefined => {
  const echoedId = headers[echoHeader];
  if (echoedId !== undefined && echoedId !== id) return undefined;
  if (expected !== undefined && code === 421) return "otherInstance";
  return notRun !== undefined && headers[notRun] !== undefined ? "notRun" : undefined;
};

/** Why a response is not forwarded as the answer to its request; undefined where it is. */
export const findResponseHeadFault = (
  head: ResponseHead,
  expectedResponse: ExpectedResponse,
): FailureCause | undefined => {
  const { code, headers } = head;
  const { headerNames, requestId: id, echoHeader } = expectedResponse;
  const { seal, proof } = headerNames;
  const declined = findDeclineCause(head, expectedResponse);
  if (declined !== undefined) return declined;
  if (headers[echoHeader] !== id) return "otherRequest";
  if (NOT_RUN_STATUSES.has(code)) return "bareRefusal";
  if (seal !== undefined && code < 300 && headers[seal] === undefined) return "noSeal";
  const encoding = headers["content-encoding"] ?? "identity";
  return proof === "request" && encoding !== "identity" ? "encoded" : undefined;
};

/** How a response's body ends: it has none, after a stated length, by its chunks, or in no way that is known. */
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
