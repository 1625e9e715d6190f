/** The durations that control elections, replication and membership of the replicated log. */

/** The timeouts of a replication node; each is a duration on a monotonic clock. */
export interface ReplicationTimeouts {
  heartbeatMs: number;
  electionMinMs: number;
  electionMaxMs: number;
  /** How long a majority's acknowledgment lets the leader serve; shorter than the shortest election timeout. */
  leaderLeaseMs: number;
  /** How long a write may wait for the disk before the node no longer leads or votes. */
  stallMs: number;
  /** How long a voter is unresponsive before a learner replaces it. */
  replaceAfterMs: number;
  /** How long a learner must have been responsive so that losing it would count as one more failure. */
  responsiveAfterMs: number;
  /** How long a learner is unresponsive before it is removed from the members. */
  forgetAfterMs: number;
  /** The size of the log after the last snapshot at which a new snapshot is written. */
  snapshotBytes: number;
}

export const defaultReplicationTimeouts = {
  heartbeatMs: 60,
  electionMinMs: 300,
  electionMaxMs: 500,
  leaderLeaseMs: 240,
  stallMs: 700,
  replaceAfterMs: 1000,
  responsiveAfterMs: 4000,
  forgetAfterMs: 60_000,
  snapshotBytes: 4 * 1024 * 1024,
};
