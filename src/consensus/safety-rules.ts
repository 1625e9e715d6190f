/**
 * The rules on which the safety of the consensus rests. Production always runs with all of them. Each mutant of the model checker
 * removes one, to show that the checker finds the resulting violation.
 */
export interface SafetyRules {
  /** A vote and its term are on disk before the vote is sent. */
  readonly syncVoteBeforeReply: boolean;
  /** A member votes once in a term. */
  readonly oneVotePerTerm: boolean;
  /** A member refuses its vote to a candidate whose log is less up to date than its own. */
  readonly voteOnlyForUpToDateLog: boolean;
  /** A member refuses votes for the minimum election timeout after contact with a leader, which may still serve under its lease. */
  readonly refuseVoteWhileLeaderIsActive: boolean;
  /** A restarted member behaves as if it had just had contact with a leader, since it may have had it right before it stopped. */
  readonly waitBeforeVotingAfterRestart: boolean;
  /** A member that rejoins after it lost its disk doesn't vote. */
  readonly voteOnlyWhenRejoined: boolean;
  /** A member that rejoins after it lost its disk counts neither for commits nor for the lease. */
  readonly countOnlyWhenRejoined: boolean;
  /** Only the marker with the nonce of the current rejoin completes it. */
  readonly rejoinOnlyByOwnNonce: boolean;
  /** A request of an older term is refused. */
  readonly refuseOldTerms: boolean;
  /** Entries are accepted only where the entry before them has the term that the leader states. */
  readonly checkPreviousTerm: boolean;
  /** Entries that conflict with the leader's are truncated before new ones are added. */
  readonly truncateConflicts: boolean;
  /** Entries are on disk before they are acknowledged. */
  readonly syncEntriesBeforeReply: boolean;
  /** A write is acknowledged only if neither the term nor the log changed while it was pending. */
  readonly acknowledgeOnlyUnderSameTerm: boolean;
  /** A leader counts copies only of entries of its own term to commit them. */
  readonly commitOnlyOwnTerm: boolean;
  /** Only voters count for a majority. */
  readonly countOnlyVoters: boolean;
  /** The members change only once the leader has committed an entry of its own term. */
  readonly changeMembersOnlyInCommittedTerm: boolean;
  /** The members change only once the previous change is committed. */
  readonly oneMembershipChangeAtATime: boolean;
  /** The lease starts when a heartbeat is sent, not when its acknowledgment arrives. */
  readonly leaseFromSending: boolean;
  /** A leader serves only once an entry of its own term is committed, which implies that all older ones are. */
  readonly serveOnlyInCommittedTerm: boolean;
}

/** All rules in force, as production runs. */
export const safetyRules: SafetyRules = {
  syncVoteBeforeReply: true,
  oneVotePerTerm: true,
  voteOnlyForUpToDateLog: true,
  refuseVoteWhileLeaderIsActive: true,
  waitBeforeVotingAfterRestart: true,
  voteOnlyWhenRejoined: true,
  countOnlyWhenRejoined: true,
  rejoinOnlyByOwnNonce: true,
  refuseOldTerms: true,
  checkPreviousTerm: true,
  truncateConflicts: true,
  syncEntriesBeforeReply: true,
  acknowledgeOnlyUnderSameTerm: true,
  commitOnlyOwnTerm: true,
  countOnlyVoters: true,
  changeMembersOnlyInCommittedTerm: true,
  oneMembershipChangeAtATime: true,
  leaseFromSending: true,
  serveOnlyInCommittedTerm: true,
};
