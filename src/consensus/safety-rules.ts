/**
 * The rules on which the agreement's safety rests, one by one. Production always runs with all of them; the explorer's
 * mutants take one out, to show that a breach would be found.
 */
export interface SafetyRules {
  /** A vote and the term it was given in are on disk before the vote is told. */
  readonly syncVoteBeforeReply: boolean;
  /** A member gives one vote in a term. */
  readonly oneVotePerTerm: boolean;
  /** No vote for a candidate whose log is older than the voter's. */
  readonly voteOnlyForUpToDateLog: boolean;
  /** No vote within the shortest election wait of hearing a leader: that leader may still answer under its lease. */
  readonly refuseVoteWhileLeaderIsHeard: boolean;
  /** A restarted member behaves as if it had just heard a leader, since it may have right before it ended. */
  readonly waitBeforeVotingAfterRestart: boolean;
  /** A member that rejoins after its disk was lost gives no vote. */
  readonly voteOnlyWhenWhole: boolean;
  /** A member that rejoins after its disk was lost counts neither for commits nor for the lease. */
  readonly countOnlyWhenWhole: boolean;
  /** Only the mark with the nonce of this very rejoining ends it. */
  readonly rejoinOnlyByOwnNonce: boolean;
  /** A request of an older term is refused. */
  readonly refuseOldTerms: boolean;
  /** Entries are taken only where the entry before them has the term that the leader says. */
  readonly checkPreviousTerm: boolean;
  /** Entries that conflict with the leader's are dropped before new ones are added. */
  readonly truncateConflicts: boolean;
  /** Entries are on disk before they are acknowledged. */
  readonly syncEntriesBeforeReply: boolean;
  /** A write is acknowledged only where neither the term nor the log moved on while it was under way. */
  readonly acknowledgeOnlyUnderSameTerm: boolean;
  /** A leader commits by counting only entries of its own term. */
  readonly commitOnlyOwnTerm: boolean;
  /** Only voters count for a majority. */
  readonly countOnlyVoters: boolean;
  /** The members change only once the leader has committed an entry of its own term. */
  readonly changeMembersOnlyInCommittedTerm: boolean;
  /** The members change only once the change before is committed. */
  readonly oneMembershipChangeAtATime: boolean;
  /** The lease is counted from when heartbeats were sent, not from when their answers came. */
  readonly leaseFromSending: boolean;
  /** A leader answers only once an entry of its own term is committed, so that all older ones are. */
  readonly answerOnlyInCommittedTerm: boolean;
}

/** All rules in force, as production runs. */
export const safetyRules: SafetyRules = {
  syncVoteBeforeReply: true,
  oneVotePerTerm: true,
  voteOnlyForUpToDateLog: true,
  refuseVoteWhileLeaderIsHeard: true,
  waitBeforeVotingAfterRestart: true,
  voteOnlyWhenWhole: true,
  countOnlyWhenWhole: true,
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
  answerOnlyInCommittedTerm: true,
};
