/** The leader's lease: until when it may serve without asking a majority. */
import { reachedByMajority } from "./quorum.js";
import type { ConsensusState, DecisionContext } from "./state.js";

type LeaseContext = Pick<DecisionContext, "nowMs" | "timeouts" | "rules">;

/**
 * Until when the leader's lease lasts: a majority acknowledged heartbeats that were sent less than `leaderLeaseMs` before.
 * Each of that majority refuses votes for `electionMinMs` from the receipt, which is later than the sending; so no other
 * leader is elected before this lease expires, as long as the rates of clocks differ by less than the two durations do.
 */
export const leaseUntilMs = (state: ConsensusState, { nowMs, timeouts }: LeaseContext): number => {
  const sentMs = reachedByMajority(state.members, (voter) =>
    voter === state.self
      ? nowMs
      : (state.acknowledgedSentMs.get(voter) ?? Number.NEGATIVE_INFINITY),
  );
  return (sentMs ?? Number.NEGATIVE_INFINITY) + timeouts.leaderLeaseMs;
};

/** Whether this member leads under a lease that has not expired, in a term of which an entry is committed. */
export const hasLease = (state: ConsensusState, context: LeaseContext): boolean =>
  state.role === "leader" &&
  (state.committedIndex >= state.leadingSinceIndex || !context.rules.serveOnlyInCommittedTerm) &&
  context.nowMs < leaseUntilMs(state, context);
