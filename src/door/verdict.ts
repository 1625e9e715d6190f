/** Whether a request may have run at a back end. */
export type Verdict = "neverRan" | "mayHaveRun" | "ran";

/** A return that is held whole. */
export interface Return {
  readonly code: number;
  readonly headers: Record<string, string>;
  readonly body: Uint8Array;
}

/** How a request ended: what it is told, or that a body was passed on as it came. */
export interface Ending {
  readonly verdict: Verdict;
  readonly ret: Return | "streamed" | "cut";
  /** Why, in the daemon's own words; empty when a back end's return was passed on. */
  readonly why: string;
}

const json = (code: number, body: Record<string, unknown>, headers: Record<string, string> = {}): Return => ({
  code,
  headers: { "content-type": "application/json", ...headers },
  body: Buffer.from(`${JSON.stringify(body)}\n`),
});

export const Return = { json };

export const Ending = {
  /** Try later: the request has not run and won't. */
  drop(why: string, retryAfterS = 1): Ending {
    return { verdict: "neverRan", why, ret: json(503, { error: why, verdict: "neverRan", retryAfterS }, { "retry-after": String(retryAfterS) }) };
  },

  /** Refused for what it is; coming back won't help. */
  refusal(code: number, why: string): Ending {
    return { verdict: "neverRan", why, ret: json(code, { error: why, verdict: "neverRan" }) };
  },

  /** Given up on: it may have run. */
  breakdown(code: 409 | 502 | 504, why: string, verdict: Verdict, retryAfterS = 1): Ending {
    return { verdict, why, ret: json(code, { error: why, verdict, retryAfterS }, { "retry-after": String(retryAfterS) }) };
  },

  /** A return that a back end gave. */
  returned(ret: Return): Ending {
    return { verdict: "ran", ret, why: "" };
  },
};
