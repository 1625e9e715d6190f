import type { Clock } from "../runtime/clock.js";

/** What a daemon knows of the members that keep the replicated log. */
export interface CoreContact {
  /** The members as last heard of, by their addresses. */
  readonly members: readonly string[];
  /** Whether no connection to a member could be had, or one went silent, since a moment, and it was not heard after that. */
  isOutOfReach(member: string, sinceMs: number): boolean;
}

/** How long a daemon may go on without a lease, and how long a failed connection says that the core is not settled. */
export interface ExpiredLeaseBounds {
  readonly staleMs: number;
  readonly contactMs: number;
}

/**
 * Decides whether requests are still served by a view whose lease is over. A lapse alone proves nothing: a leader that is
 * overloaded, a full link or a majority that our own members have lost bring it too, while the bound on old configurations holds.
 * So it takes evidence that the core is not settled, or that this machine is cut off from it: connections to half of the members
 * or more failed within `contactMs` and nothing was heard of them since. A member that answers late is not out of reach.
 */
export class ExpiredLeasePolicy {
  private readonly clock: Clock;
  private readonly core: CoreContact;
  private readonly bounds: ExpiredLeaseBounds;

  constructor(clock: Clock, core: CoreContact, bounds: ExpiredLeaseBounds) {
    this.clock = clock;
    this.core = core;
    this.bounds = bounds;
  }

  /** Whether a view may be served by whose lease has been over for so long. */
  allows(lapsedMs: number): boolean {
    return lapsedMs < this.bounds.staleMs && this.isCoreUnsettled();
  }

  private isCoreUnsettled(): boolean {
    const { members } = this.core;
    const sinceMs = this.clock.nowMs() - this.bounds.contactMs;
    const failed = members.filter((member) => this.core.isOutOfReach(member, sinceMs));
    return members.length > 0 && failed.length * 2 >= members.length;
  }
}
