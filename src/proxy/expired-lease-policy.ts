/** Whether requests are served by a view whose lease expired. */
import type { Clock } from "../runtime/clock.js";

/** What a daemon knows of its connections to the replicas of the log. */
export interface ReplicaReachability {
  /** The addresses of the replicas, as last received. */
  readonly replicas: readonly string[];
  /** Whether since a moment a connection to a replica failed or became unresponsive, and nothing was received from it after that. */
  isUnreachable(member: string, sinceMs: number): boolean;
}

/** How long a daemon may serve without a lease, and how long a failed connection counts as evidence of an unavailable quorum. */
export interface ExpiredLeaseBounds {
  readonly staleMs: number;
  readonly contactMs: number;
}

/**
 * Decides whether requests are still served by a view whose lease expired. The expiry alone proves nothing: an overloaded
 * leader or a full link causes it too, while the bound on the age of configurations holds. So it takes evidence that the
 * quorum is unavailable, or that this machine is partitioned from it: connections to half of the replicas or more failed
 * within `contactMs`, and nothing was received from them since. A replica that responds late is not unreachable.
 */
export class ExpiredLeasePolicy {
  private readonly clock: Clock;
  private readonly core: ReplicaReachability;
  private readonly bounds: ExpiredLeaseBounds;

  constructor(clock: Clock, core: ReplicaReachability, bounds: ExpiredLeaseBounds) {
    this.clock = clock;
    this.core = core;
    this.bounds = bounds;
  }

  /** Whether a view may be served by whose lease expired this long ago. */
  allows(expiredForMs: number): boolean {
    return expiredForMs < this.bounds.staleMs && this.isQuorumUnavailable();
  }

  private isQuorumUnavailable(): boolean {
    const { replicas: replicas } = this.core;
    const sinceMs = this.clock.nowMs() - this.bounds.contactMs;
    const failed = replicas.filter((replica) => this.core.isUnreachable(replica, sinceMs));
    return replicas.length > 0 && failed.length * 2 >= replicas.length;
  }
}
