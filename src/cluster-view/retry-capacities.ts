/** What the cluster view needs of the retry budget, so that it doesn't depend on that. */

/** An edge's capacities for retries, by service. */
export interface RetryCapacities {
  readonly rules: { readonly windowMs: number };
  readonly capacities: ReadonlyMap<string, number>;
  /** Called when a capacity is nearly used up. */
  onNearlyExhausted: () => void;
  /** How many retries of a service were requested in the last window. */
  requested(service: string, nowMs: number): number;
  /** Replaces the capacities by those that the leader allotted; a service that isn't named has none. */
  setCapacities(capacities: ReadonlyMap<string, number>, nowMs: number): void;
}
