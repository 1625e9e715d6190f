/** What an edge holds of each service's further tries, as its view of the fleet tells and learns it. */
export interface RetryCapacities {
  readonly rules: { readonly windowMs: number };
  readonly capacities: ReadonlyMap<string, number>;
  /** Hears that a capacity is nearly spent. */
  onShort: () => void;
  /** How many further tries were wished for in the last window. */
  requested(service: string, nowMs: number): number;
  /** Takes what the leader granted; a service that isn't named has none. */
  setCapacities(capacities: ReadonlyMap<string, number>, nowMs: number): void;
}
