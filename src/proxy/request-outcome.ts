/** Whether a request may have run at a back end. */
export type ExecutionStatus = "neverRan" | "mayHaveRun" | "ran";

/** A return that is held whole. */
export interface ClientResponse {
  readonly code: number;
  readonly headers: Record<string, string>;
  readonly body: Uint8Array;
}

/** How a request ended: what it is told, or that a body was passed on as it came. */
export interface RequestOutcome {
  readonly execution: ExecutionStatus;
  readonly response: ClientResponse | "streamed" | "cut";
  /** Why, in the daemon's own words; empty when a back end's return was passed on. */
  readonly why: string;
  /** When to come back, where that is told. */
  readonly afterMs?: number;
}

const json = (
  code: number,
  body: Record<string, unknown>,
  headers: Record<string, string> = {},
): ClientResponse => ({
  code,
  headers: { "content-type": "application/json", ...headers },
  body: Buffer.from(`${JSON.stringify(body)}\n`),
});

export const ClientResponse = { json };

/** How long a caller had better wait where nothing more is known. */
const usualAfterMs = 1000;

const told = (
  code: number,
  why: string,
  execution: ExecutionStatus,
  afterMs: number,
): RequestOutcome => ({
  execution,
  why,
  afterMs,
  response: json(
    code,
    { error: why, verdict: execution, retryAfterS: afterMs / 1000 },
    { "retry-after": String(Math.ceil(afterMs / 1000)) },
  ),
});

export const RequestOutcome = {
  /** Try later: the request has not run and won't. */
  drop: (why: string, afterMs = usualAfterMs): RequestOutcome =>
    told(503, why, "neverRan", afterMs),

  /** Refused for what it is; coming back won't help. */
  refusal(code: number, why: string): RequestOutcome {
    return {
      execution: "neverRan",
      why,
      response: json(code, { error: why, verdict: "neverRan" }),
    };
  },

  /** Given up on: it may have run. */
  breakdown: (
    code: 409 | 502 | 504,
    why: string,
    execution: ExecutionStatus,
    afterMs = usualAfterMs,
  ): RequestOutcome => told(code, why, execution, afterMs),

  /** A return that a back end gave. */
  returned(response: ClientResponse): RequestOutcome {
    return { execution: "ran", response, why: "" };
  },
};
