/** The durations that control elections, replication and membership of the replicated log. */

/** The timeouts of a replication node, in ms on a monotonic clock, and the size limit of its log. */
export interface ReplicationTimeouts {
  heartbeatMs: number;
  electionMinMs: number;
  electionMaxMs: number;
  /** How long the leader may serve after a majority's acknowledgment; less than the minimum election timeout. */
  leaderLeaseMs: number;
  /** How long a write may take before the node no longer leads or votes. */
  stallMs: number;
  /** Time after which a learner replaces an unresponsive voter. */
  replaceAfterMs: number;
  /**
   * Time after which a responsive learner may be promoted before the lost voter is demoted: its loss is then a further
   * failure.
   */
  responsiveAfterMs: number;
  /** Time after which an unresponsive learner is removed from the members. */
  forgetAfterMs: number;
  /** Size of the log after the last snapshot at which a new snapshot is due, in bytes. */
  snapshotBytes: number;
}

/** The timeouts and the size limit that apply unless the settings give others. */
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
