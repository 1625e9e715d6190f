/** Rules that limit the retries of a service in a window. */

/** A limit on retries: a fraction of the requests, plus a fixed pool. */
export interface RetryRule {
  /** Retries that each request earns; usually a fraction of one. */
  readonly earned: number;
  /** Retries per window beyond the earned ones. */
  readonly pool: number;
}

/** The configured rule, and the stricter ones that enforce it. */
export interface RetryRules {
  readonly rule: RetryRule;
  /** The rule of the sketch, which is approximate. */
  readonly sketch: RetryRule;
  /** The rule of the exact guard: less strict than the sketch's, stricter than the configured one. */
  readonly guard: RetryRule;
  /** Window over which a service's retries are compared with its requests. */
  readonly windowMs: number;
}

/** Rules that limit retries to `ratio` per request plus `extra` in each window. */
export function createRetryRules(ratio: number, extra: number, windowMs: number): RetryRules {
  return {
    rule: { earned: ratio, pool: extra },
    sketch: { earned: ratio * 0.825, pool: (extra * 45) / 70 },
    guard: { earned: ratio * 0.925, pool: (extra * 66) / 70 },
    windowMs,
  };
}
