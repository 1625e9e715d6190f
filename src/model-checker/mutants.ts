/** The mutants: variants of the consensus algorithm by which the model checker itself is tested. */
import type { RuleOverride } from "./random-search.js";

/** The consensus algorithm with one safety rule disabled or one timeout changed; a search should find the violation. */
export interface Mutant {
  readonly name: string;
  readonly ruleOverride: RuleOverride;
}

const withoutRule = (rule: keyof NonNullable<RuleOverride["rules"]>, name: string): Mutant => ({
  name,
  ruleOverride: { rules: { [rule]: false } },
});

/** All mutants: one without each safety rule, and one whose lease is longer than the election timeout. */
export const mutants: readonly Mutant[] = [
  withoutRule("syncVoteBeforeReply", "a vote is sent before it is on disk"),
  withoutRule("oneVotePerTerm", "more than one vote per term"),
  withoutRule("voteOnlyForUpToDateLog", "a vote for a candidate whose log is not up to date"),
  withoutRule("refuseVoteWhileLeaderIsActive", "a vote while a leader is active"),
  withoutRule("waitBeforeVotingAfterRestart", "a restarted voter votes without waiting"),
  withoutRule("voteOnlyWhenRejoined", "a vote while rejoining"),
  withoutRule("countOnlyWhenRejoined", "a rejoining member counts for a majority"),
  withoutRule("rejoinOnlyByOwnNonce", "the marker of an earlier rejoin completes a later one"),
  withoutRule("refuseOldTerms", "requests of older terms are accepted"),
  withoutRule("checkPreviousTerm", "entries are accepted without a check of the previous term"),
  withoutRule("truncateConflicts", "a conflicting log suffix is kept"),
  withoutRule("syncEntriesBeforeReply", "entries are acknowledged before they are on disk"),
  withoutRule(
    "acknowledgeOnlyUnderSameTerm",
    "an acknowledgment after the term or the log has changed",
  ),
  withoutRule("commitOnlyOwnTerm", "an entry of an older term is committed by counting"),
  withoutRule("countOnlyVoters", "learners count for a majority"),
  withoutRule(
    "changeMembersOnlyInCommittedTerm",
    "members change before an entry of the leader's term is committed",
  ),
  withoutRule("oneMembershipChangeAtATime", "members change while a change is uncommitted"),
  withoutRule("leaseFromSending", "the lease starts at the reply instead of at the request"),
  withoutRule(
    "serveOnlyInCommittedTerm",
    "a new leader serves reads before an entry of its term is committed",
  ),
  {
    name: "a lease longer than the election timeout",
    ruleOverride: { timeouts: { leaderLeaseMs: 900 } },
  },
];
