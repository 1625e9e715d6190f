/** The outcome of a request and the response that its client gets. */

/** Whether a request ran at a backend: it did not and will not, it may have, or it did. */
export type ExecutionStatus = "neverRan" | "mayHaveRun" | "ran";

/** A completely buffered response. */
export interface ClientResponse {
  readonly code: number;
  readonly headers: Record<string, string>;
  readonly body: Uint8Array;
}

/** The outcome of a request: a response to send, or one that was streamed completely or truncated. */
export interface RequestOutcome {
  readonly execution: ExecutionStatus;
  readonly response: ClientResponse | "streamed" | "cut";
  /** The error message for the client; empty if a backend's response is forwarded. */
  readonly reason: string;
  /** The delay after which the client is asked to retry, if any. */
  readonly retryAfterMs?: number;
}

/** Creates a response with a JSON body that ends in a line feed. */
export const jsonResponse = (
  code: number,
  body: Record<string, unknown>,
  headers: Record<string, string> = {},
): ClientResponse => ({
  code,
  headers: { "content-type": "application/json", ...headers },
  body: Buffer.from(`${JSON.stringify(body)}\n`),
});

/** Retry delay where the cause suggests no other. */
const DEFAULT_RETRY_AFTER_MS = 1000;

/** Creates an outcome whose JSON body and `Retry-After` header state the retry delay. */
const retryableOutcome = (
  code: number,
  reason: string,
  execution: ExecutionStatus,
  retryAfterMs: number,
): RequestOutcome => ({
  execution,
  reason,
  retryAfterMs,
  response: jsonResponse(
    code,
    { error: reason, verdict: execution, retryAfterS: retryAfterMs / 1000 },
    { "retry-after": String(Math.ceil(retryAfterMs / 1000)) },
  ),
});

/** Creates a 503 outcome: the request did not run and will not, so the client may retry. */
export const unavailableOutcome = (
  reason: string,
  retryAfterMs = DEFAULT_RETRY_AFTER_MS,
): RequestOutcome => retryableOutcome(503, reason, "neverRan", retryAfterMs);

/** Creates an outcome for an invalid request, which a retry would not help. */
export function rejectedOutcome(code: number, reason: string): RequestOutcome {
  return {
    execution: "neverRan",
    reason,
    response: jsonResponse(code, { error: reason, verdict: "neverRan" }),
  };
}

/** Creates an outcome for a request that has no backend response and may have run. */
export const failedOutcome = (
  code: 409 | 502 | 504,
  reason: string,
  execution: ExecutionStatus,
  retryAfterMs = DEFAULT_RETRY_AFTER_MS,
): RequestOutcome => retryableOutcome(code, reason, execution, retryAfterMs);

/** Creates the outcome that forwards a backend's response unchanged. */
export function forwardedOutcome(response: ClientResponse): RequestOutcome {
  return { execution: "ran", response, reason: "" };
}
