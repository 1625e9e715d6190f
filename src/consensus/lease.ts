/** The leader's lease, during which it may serve reads without contacting a majority. */
import { reachedByMajority } from "./quorum.js";
import type { ConsensusState, DecisionContext } from "./state.js";

type LeaseContext = Pick<DecisionContext, "nowMs" | "timeouts" | "rules">;

/**
 * When the leader's lease expires, in ms on its clock: `leaderLeaseMs` after the latest time such that a majority acknowledged
 * heartbeats sent at that time or later. Each member of that majority refuses votes for `electionMinMs` from receipt, which is
 * later than sending. So no other leader is elected before the lease expires, as long as the clock rates differ by a smaller
 * factor than the two durations do.
 */
export const leaseUntilMs = (state: ConsensusState, { nowMs, timeouts }: LeaseContext): number => {
  const sentMs = reachedByMajority(state.members, (voter) =>
    voter === state.self
      ? nowMs
      : (state.acknowledgedSentMs.get(voter) ?? Number.NEGATIVE_INFINITY),
  );
  return (sentMs ?? Number.NEGATIVE_INFINITY) + timeouts.leaderLeaseMs;
};

/** Whether this member leads, has committed an entry of its own term, and holds a lease that has not expired. */
export const hasLease = (state: ConsensusState, context: LeaseContext): boolean =>
  state.role === "leader" &&
  (state.committedIndex >= state.leadingSinceIndex || !context.rules.serveOnlyInCommittedTerm) &&
  context.nowMs < leaseUntilMs(state, context);
