import type { HeaderNames } from "../header-names.js";
import type { FailureCause } from "../outcome-rules.js";

/** The head of a back end's response. */
export interface ResponseHead {
  readonly code: number;
  readonly headers: Readonly<Record<string, string>>;
}

/** What a response has to show to be this request's answer. */
export interface ExpectedResponse {
  readonly headerNames: HeaderNames;
  /** The request's name toward the back end. */
  readonly id: string;
  /** In which header the response repeats that name. */
  readonly echoHeader: string;
}

/** Statuses that promise that a request has not run; a back end's own stands only with its word that it hasn't. */
const promisingCodes: ReadonlySet<number> = new Set([408, 421, 429, 503]);

/** What keeps a response from being passed on as this request's answer; undefined where nothing does. */
export const responseHeadFault = (
  { code, headers }: ResponseHead,
  { headerNames: { seal, notRun, expected, proof }, id, echoHeader }: ExpectedResponse,
): FailureCause | undefined => {
  const echoed = headers[echoHeader];
  if (echoed === undefined || echoed === id) {
    if (expected !== undefined && code === 421) return "otherInstance";
    if (notRun !== undefined && headers[notRun] !== undefined) return "notRun";
  }
  if (echoed !== id) return "otherRequest";
  if (promisingCodes.has(code)) return "bareRefusal";
  if (seal !== undefined && code < 300 && headers[seal] === undefined) return "noSeal";
  const encoding = headers["content-encoding"];
  if (proof === "request" && encoding !== undefined && encoding !== "identity") return "encoded";
  return undefined;
};

/** How the end of a response's body is known: there is none, after so many bytes, by its chunks, or not at all. */
export const responseBodyEnd = (
  method: string,
  { code, headers }: ResponseHead,
): "bodiless" | { readonly lengthBytes: number } | "chunked" | "unknown" => {
  if (method === "HEAD" || code === 204 || code === 304) return "bodiless";
  if (headers["transfer-encoding"]?.toLowerCase() === "chunked") return "chunked";
  const stated = headers["content-length"];
  return stated !== undefined && /^\d{1,15}$/.test(stated)
    ? { lengthBytes: Number(stated) }
    : "unknown";
};
