/** The leader's table of which edge holds how much of each service's further tries. */
export interface RetryCapacityAllocator {
  /** A new leader begins, with the edges that may hold something. */
  lead(nowMs: number, leaderName: string, expected: ReadonlySet<string>): void;
  /** The capacities of one edge, given what it holds and how many further tries it wished for lately. */
  grant(
    edge: string,
    report: { readonly number: string; readonly capacities: Map<string, number> },
    wished: ReadonlyMap<string, number>,
    services: readonly string[],
    nowMs: number,
  ): { number: string; capacities: Map<string, number> };
  /** The edges that were expected or heard and can hold nothing any more. */
  past(nowMs: number, known: Iterable<string>): string[];
}
