/** How a request ended, and the response that its client gets. */

/** Whether a request ran at a backend. */
export type ExecutionStatus = "neverRan" | "mayHaveRun" | "ran";

/** A response that is buffered whole. */
export interface ClientResponse {
  readonly code: number;
  readonly headers: Record<string, string>;
  readonly body: Uint8Array;
}

/** How a request ended: with a response to send, or with one that was streamed to its end or cut short. */
export interface RequestOutcome {
  readonly execution: ExecutionStatus;
  readonly response: ClientResponse | "streamed" | "cut";
  /** Why the proxy answered itself, in words for the client; empty where a backend's response is forwarded. */
  readonly reason: string;
  /** When the client had better retry, where this is stated. */
  readonly retryAfterMs?: number;
}

/** A response with a JSON body that ends in a line feed. */
export const jsonResponse = (
  code: number,
  body: Record<string, unknown>,
  headers: Record<string, string> = {},
): ClientResponse => ({
  code,
  headers: { "content-type": "application/json", ...headers },
  body: Buffer.from(`${JSON.stringify(body)}\n`),
});

/** A response with a JSON body and a line feed after it. */

/** When clients had better retry where nothing more is known. */
const DEFAULT_RETRY_AFTER_MS = 1000;

/** An outcome whose JSON body and headers state when to retry. */
const retryableOutcome = (
  code: number,
  why: string,
  execution: ExecutionStatus,
  afterMs: number,
): RequestOutcome => ({
  execution,
  reason: why,
  retryAfterMs: afterMs,
  response: jsonResponse(
    code,
    { error: why, verdict: execution, retryAfterS: afterMs / 1000 },
    { "retry-after": String(Math.ceil(afterMs / 1000)) },
  ),
});

/** 503: the request has not run and won't; the client may retry. */
export const unavailableOutcome = (why: string, afterMs = DEFAULT_RETRY_AFTER_MS): RequestOutcome =>
  retryableOutcome(503, why, "neverRan", afterMs);

/** The request is invalid: a retry won't help. */
export function rejectedOutcome(code: number, why: string): RequestOutcome {
  return {
    execution: "neverRan",
    reason: why,
    response: jsonResponse(code, { error: why, verdict: "neverRan" }),
  };
}

/** The request ended without a backend's response, and may have run. */
export const failedOutcome = (
  code: 409 | 502 | 504,
  why: string,
  execution: ExecutionStatus,
  afterMs = DEFAULT_RETRY_AFTER_MS,
): RequestOutcome => retryableOutcome(code, why, execution, afterMs);

/** A backend's response, unchanged. */
export function forwardedOutcome(response: ClientResponse): RequestOutcome {
  return { execution: "ran", response, reason: "" };
}
