import { reachedByMajority } from "./quorum.js";
import type { ConsensusState, DecisionContext } from "./state.js";

type LeaseContext = Pick<DecisionContext, "nowMs" | "timeouts" | "rules">;

/**
 * Until when the leader's lease lasts: a majority acknowledged heartbeats that were sent less than `leaderGrantMs`
 * before. Each of that majority refuses votes for `electionMinMs` from when it heard, which is later than the sending;
 * so no other leader is elected before this lease is over, as long as clocks run alike to within their ratio.
 */
export const leaseUntilMs = (
  state: ConsensusState,
  { nowMs, timeouts: waits }: LeaseContext,
): number => {
  const sentMs = reachedByMajority(state.members, (voter) =>
    voter === state.self
      ? nowMs
      : (state.acknowledgedSentMs.get(voter) ?? Number.NEGATIVE_INFINITY),
  );
  return (sentMs ?? Number.NEGATIVE_INFINITY) + waits.leaderLeaseMs;
};

/** Whether this member leads under a lease that lasts, in a term of which an entry is committed. */
export const hasLease = (state: ConsensusState, facts: LeaseContext): boolean =>
  state.role === "leader" &&
  (state.committedIndex >= state.leadingSinceIndex || !facts.rules.answerOnlyInCommittedTerm) &&
  facts.nowMs < leaseUntilMs(state, facts);
