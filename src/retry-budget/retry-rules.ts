/** The rules for how many retries a service may take in a window. */

/** How many retries a service may take: a part for each request, and a pool besides. */
export interface RetryRule {
  /** Retries that each request earns. */
  readonly earned: number;
  /** Retries in each window beyond those earned. */
  readonly pool: number;
}

/** The rule for retries, and the stricter ones by which it is enforced. */
export interface RetryRules {
  readonly rule: RetryRule;
  /** What the sketch, which is approximate, decides by. */
  readonly sketch: RetryRule;
  /** What the exact guard allows: more than the sketch's rule, less than the rule itself. */
  readonly guard: RetryRule;
  /** The window in which a service's retries are compared with its requests. */
  readonly windowMs: number;
}

/** The rules by which each window has at most `ratio` retries for each request, and `extra` more. */
export function createRetryRules(ratio: number, extra: number, windowMs: number): RetryRules {
  return {
    rule: { earned: ratio, pool: extra },
    sketch: { earned: ratio * 0.825, pool: (extra * 45) / 70 },
    guard: { earned: ratio * 0.925, pool: (extra * 66) / 70 },
    windowMs,
  };
}
