import type { RuleOverride } from "./random-search.js";

/** One safety rule taken out of the decisions, to see whether the explorer notices. */
export interface Mutant {
  readonly name: string;
  readonly ruleOverride: RuleOverride;
}

const withoutRule = (rule: keyof NonNullable<RuleOverride["rules"]>, name: string): Mutant => ({
  name,
  ruleOverride: { rules: { [rule]: false } },
});

/** All mutants: each rule of the agreement once, and the lease once longer than the election wait. */
export const mutants: readonly Mutant[] = [
  withoutRule("syncVoteBeforeReply", "a vote is told before it is on disk"),
  withoutRule("oneVotePerTerm", "several votes in a term"),
  withoutRule("voteOnlyForUpToDateLog", "a vote for a candidate with an older log"),
  withoutRule("refuseVoteWhileLeaderIsActive", "a vote while a leader is heard"),
  withoutRule("waitBeforeVotingAfterRestart", "a restarted voter votes at once"),
  withoutRule("voteOnlyWhenRejoined", "a vote while rejoining"),
  withoutRule("countOnlyWhenRejoined", "counting while rejoining"),
  withoutRule("rejoinOnlyByOwnNonce", "an older rejoining's mark ends a new one"),
  withoutRule("refuseOldTerms", "requests of older terms are taken"),
  withoutRule("checkPreviousTerm", "entries are taken without the check of the term before them"),
  withoutRule("truncateConflicts", "a conflicting tail stays"),
  withoutRule("syncEntriesBeforeReply", "entries are acknowledged before they are on disk"),
  withoutRule("acknowledgeOnlyUnderSameTerm", "an acknowledgment after the term or log moved on"),
  withoutRule("commitOnlyOwnTerm", "an older term's entry is committed by counting"),
  withoutRule("countOnlyVoters", "learners count for a majority"),
  withoutRule("changeMembersOnlyInCommittedTerm", "members change before an entry of the term"),
  withoutRule("oneMembershipChangeAtATime", "members change while a change is uncommitted"),
  withoutRule("leaseFromSending", "the lease counts from the answer, not from the sending"),
  withoutRule("serveOnlyInCommittedTerm", "a new leader answers before an entry of its term"),
  {
    name: "a lease longer than the election wait",
    ruleOverride: { timeouts: { leaderLeaseMs: 900 } },
  },
];
