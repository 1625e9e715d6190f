/** Decides whether requests are served from a view whose lease has expired. */
import type { Clock } from "../runtime/clock.js";

/** The state of a daemon's connections to the replicas of the log. */
export interface ReplicaReachability {
  /** Addresses of the replicas, as last received. */
  readonly replicas: readonly string[];
  /**
   * Whether a connection to a replica failed or became unresponsive since `sinceMs`, and nothing was received from the
   * replica after that.
   */
  isUnreachable(replica: string, sinceMs: number): boolean;
}

/** Time limits of the policy. */
export interface ExpiredLeaseBounds {
  /** Time after the expiry of its lease within which a daemon may still serve requests. */
  readonly staleMs: number;
  /** Time for which a failed connection is evidence of an unavailable quorum. */
  readonly contactMs: number;
}

/**
 * Decides whether requests are still served from a view whose lease has expired. The expiry alone is no evidence: an
 * overloaded leader or a saturated link causes it too, while the bound on the age of configurations still applies.
 * Therefore the policy requires evidence that the quorum is unavailable, or that this machine is partitioned from it:
 * connections to at least half of the replicas failed within `contactMs`, and nothing was received from these replicas
 * since. A replica that responds late is not unreachable.
 */
export class ExpiredLeasePolicy {
  private readonly clock: Clock;
  private readonly reachability: ReplicaReachability;
  private readonly bounds: ExpiredLeaseBounds;

  constructor(clock: Clock, reachability: ReplicaReachability, bounds: ExpiredLeaseBounds) {
    this.clock = clock;
    this.reachability = reachability;
    this.bounds = bounds;
  }

  /** Whether requests may be served from a view whose lease expired `expiredForMs` ago. */
  allows(expiredForMs: number): boolean {
    return expiredForMs < this.bounds.staleMs && this.isQuorumUnavailable();
  }

  private isQuorumUnavailable(): boolean {
    const { replicas } = this.reachability;
    const sinceMs = this.clock.nowMs() - this.bounds.contactMs;
    const failed = replicas.filter((replica) => this.reachability.isUnreachable(replica, sinceMs));
    return replicas.length > 0 && failed.length * 2 >= replicas.length;
  }
}
