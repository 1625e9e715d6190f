/** The capacities for retries that the leader allotted to this daemon, as last received. */
import type { LeasedView } from "../control-protocol/leased-view.js";
import type { WatchRequest } from "../control-protocol/watch-request.js";
import type { RetryCapacities } from "./retry-capacities.js";

/** Passes the leader's allotments on to the retry budget, and reports the budget's state to the leader. */
export class RetryCapacityReplica {
  private readonly budget: RetryCapacities;
  private allotted: ReadonlyMap<string, number> = new Map();
  private number = "";

  constructor(budget: RetryCapacities) {
    this.budget = budget;
  }

  /** The number of the allotment that is in force here; empty for none. */
  get allotmentNumber(): string {
    return this.number;
  }

  /** How long after the end of the lease the allotment is given up. */
  get graceMs(): number {
    return this.budget.rules.windowMs / 2;
  }

  /** Capacities that are in force, as a watch request reports them. */
  get capacities(): WatchRequest["capacities"] {
    return [...this.budget.capacities]
      .filter(([, capacity]) => capacity > 0)
      .map(([service, capacity]) => ({ service, capacity }));
  }

  /** How many retries of each service were requested lately, as a watch request reports them. */
  requested(services: readonly string[], nowMs: number): WatchRequest["wished"] {
    return services
      .map((service) => ({ service, count: this.budget.requested(service, nowMs) }))
      .filter(({ count }) => count > 0);
  }

  /** Takes the allotment of a view; one without capacities repeats those that its number names. */
  apply({ capacities, grantNumber }: LeasedView, nowMs: number): void {
    if (capacities)
      this.allotted = new Map(capacities.map(({ service, capacity }) => [service, capacity]));
    this.budget.setCapacities(this.allotted, nowMs);
    this.number = grantNumber;
  }

  /** Gives the allotment up. */
  clear(nowMs: number): void {
    this.allotted = new Map();
    this.budget.setCapacities(this.allotted, nowMs);
    this.number = "";
  }
}
