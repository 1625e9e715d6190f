/** How long a follower waits for its leader, by the gaps between the heartbeats that it received. */
import type { ReplicationTimeouts } from "../replication-timeouts.js";

/** A follower waits for this multiple of the longest recent gap. */
const GAP_FACTOR = 2;
/** The longest gap counts less by this factor with every heartbeat, by half after some eight seconds. */
const DECAY_PER_HEARTBEAT = 0.995;
/** Maximum wait, in minimum election timeouts. */
const MAX_ELECTION_TIMEOUTS = 3;

/**
 * The recent gaps between a leader's heartbeats. Where processes wait for a processor, heartbeats come late although their leader
 * lives; elections would take its place again and again. Only the start of an election depends on this: votes and leases don't.
 */
export class HeartbeatGaps {
  private readonly maxPatienceMs: number;
  private longestMs = 0;

  constructor({ electionMinMs }: Pick<ReplicationTimeouts, "electionMinMs">) {
    this.maxPatienceMs = electionMinMs * MAX_ELECTION_TIMEOUTS;
  }

  /** Records the time between two heartbeats of the same leader. */
  record(gapMs: number): void {
    this.longestMs = Math.max(gapMs, this.longestMs * DECAY_PER_HEARTBEAT);
  }

  /** Time without a heartbeat after which the leader may be lost. */
  get patienceMs(): number {
    return Math.min(this.longestMs * GAP_FACTOR, this.maxPatienceMs);
  }
}
