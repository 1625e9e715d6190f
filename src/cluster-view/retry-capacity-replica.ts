/** The retry capacities that the leader last allotted to this daemon. */
import type { LeasedView } from "../control-protocol/leased-view.js";
import type { WatchRequest } from "../control-protocol/watch-request.js";
import type { RetryCapacities } from "./retry-capacities.js";

/** Passes the leader's allotments to the retry budget, and provides the budget's state for watch requests. */
export class RetryCapacityReplica {
  private readonly budget: RetryCapacities;
  private allotted: ReadonlyMap<string, number> = new Map();
  private number = "";

  constructor(budget: RetryCapacities) {
    this.budget = budget;
  }

  /** Number of the allotment in use; empty for none. */
  get allotmentNumber(): string {
    return this.number;
  }

  /** Delay between the expiry of the lease and the release of the allotment. */
  get graceMs(): number {
    return this.budget.rules.windowMs / 2;
  }

  /** Capacities in use, in the form of a watch request. */
  get capacities(): WatchRequest["capacities"] {
    return [...this.budget.capacities]
      .filter(([, capacity]) => capacity > 0)
      .map(([service, capacity]) => ({ service, capacity }));
  }

  /** Number of retries of each service requested in the last window, in the form of a watch request. */
  requested(services: readonly string[], nowMs: number): WatchRequest["wished"] {
    return services
      .map((service) => ({ service, count: this.budget.requested(service, nowMs) }))
      .filter(({ count }) => count > 0);
  }

  /** Adopts the allotment of a view. A view without capacities repeats the last received ones. */
  apply({ capacities, grantNumber }: LeasedView, nowMs: number): void {
    if (capacities)
      this.allotted = new Map(capacities.map(({ service, capacity }) => [service, capacity]));
    this.budget.setCapacities(this.allotted, nowMs);
    this.number = grantNumber;
  }

  /** Releases the allotment. */
  clear(nowMs: number): void {
    this.allotted = new Map();
    this.budget.setCapacities(this.allotted, nowMs);
    this.number = "";
  }
}
