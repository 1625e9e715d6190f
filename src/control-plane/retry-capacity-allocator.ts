/** The allocation of retry capacity, as the control plane uses it; src/retry-budget implements it. */

/** The leader's allocation of each service's retry capacity among the edges. */
export interface RetryCapacityAllocator {
  /** Starts a term at `nowMs` under the leader's name, with the edges that may hold capacity. */
  beginTerm(nowMs: number, leaderName: string, holders: ReadonlySet<string>): void;
  /** Allocates the capacities of one edge from those that it holds and its recent demand for retries by service. */
  allocate(
    edge: string,
    report: { readonly number: string; readonly capacities: Map<string, number> },
    retryDemand: ReadonlyMap<string, number>,
    services: readonly string[],
    nowMs: number,
  ): { number: string; capacities: Map<string, number> };
  /** The edges among `holders` whose capacities have lapsed. */
  expiredEdges(nowMs: number, holders: Iterable<string>): string[];
}
