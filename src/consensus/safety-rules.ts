/**
 * The rules on which the safety of the consensus rests, one by one. Production always runs with all of them; the model
 * checker's mutants remove one, to show that the violation would be found.
 */
export interface SafetyRules {
  /** A vote and its term are on disk before the vote is sent. */
  readonly syncVoteBeforeReply: boolean;
  /** A member votes once in a term. */
  readonly oneVotePerTerm: boolean;
  /** No vote for a candidate whose log is older than the voter's. */
  readonly voteOnlyForUpToDateLog: boolean;
  /** No vote within the shortest election timeout of contact with a leader, which may still serve under its lease. */
  readonly refuseVoteWhileLeaderIsActive: boolean;
  /** A restarted member behaves as if it had just had contact with a leader, since it may have right before it ended. */
  readonly waitBeforeVotingAfterRestart: boolean;
  /** A member that rejoins after its disk was lost doesn't vote. */
  readonly voteOnlyWhenRejoined: boolean;
  /** A member that rejoins after its disk was lost counts neither for commits nor for the lease. */
  readonly countOnlyWhenRejoined: boolean;
  /** Only the marker with the nonce of this very rejoin completes it. */
  readonly rejoinOnlyByOwnNonce: boolean;
  /** A request of an older term is refused. */
  readonly refuseOldTerms: boolean;
  /** Entries are accepted only where the entry before them has the term that the leader states. */
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
  /** The lease is counted from when heartbeats were sent, not from when their acknowledgments arrived. */
  readonly leaseFromSending: boolean;
  /** A leader serves only once an entry of its own term is committed, so that all older ones are. */
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
