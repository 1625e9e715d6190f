/** Interface between the cluster view and the retry budget, so that the cluster view doesn't depend on the budget. */

/** An edge's retry capacities by service. */
export interface RetryCapacities {
  readonly rules: { readonly windowMs: number };
  readonly capacities: ReadonlyMap<string, number>;
  /** Called when a capacity is nearly exhausted. */
  onNearlyExhausted: () => void;
  /** Number of retries of a service requested in the last window. */
  requested(service: string, nowMs: number): number;
  /** Replaces the capacities with the leader's allotment; a service that is not in it has none. */
  setCapacities(capacities: ReadonlyMap<string, number>, nowMs: number): void;
}
