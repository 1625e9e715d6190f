/** How many further tries a service may take: a part for each request, and a pool besides. */
export interface RetryRule {
  readonly earned: number;
  readonly pool: number;
}

/** The rule for further tries, and the stricter ones by which it is kept. */
export interface RetryRules {
  readonly rule: RetryRule;
  /** What the sketch decides by on the ordinary path. */
  readonly sketch: RetryRule;
  /** What the exact guard allows at most, between the sketch's limits and the rule's. */
  readonly guard: RetryRule;
  /** The window in which a service's further tries are held against its requests. */
  readonly windowMs: number;
}

export const RetryRules = {
  /** The rules that keep a ratio and a number of extra tries in every window. */
  of(ratio: number, extra: number, windowMs: number): RetryRules {
    return {
      rule: { earned: ratio, pool: extra },
      sketch: { earned: ratio * 0.825, pool: (extra * 45) / 70 },
      guard: { earned: ratio * 0.925, pool: (extra * 66) / 70 },
      windowMs,
    };
  },
};
