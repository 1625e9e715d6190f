/** What a member may do, as a decision reads it from the consensus state. */
import { memberRights, type MemberRights, type MemberState } from "./member-rights.js";
import { hasLease } from "./lease.js";
import type { ConsensusState, DecisionContext } from "./state.js";

/** Whether this member leads, or had contact with a leader so lately that the leader may still serve under its lease. */
const isBoundToLeader = (
  state: ConsensusState,
  { nowMs, timeouts, rules }: DecisionContext,
): boolean =>
  rules.refuseVoteWhileLeaderIsActive &&
  (state.role === "leader" || nowMs - state.lastLeaderContactMs < timeouts.electionMinMs);

/** What this member may do now. */
export const currentMemberRights = (
  state: ConsensusState,
  context: DecisionContext,
): MemberRights => {
  const { rules } = context;
  const member: MemberState = {
    stage: context.stage,
    isRejoining: state.rejoinNonce !== "",
    isVoter: state.members.voters.includes(state.self),
    isLeader: state.role === "leader",
    isRetired: context.isRetired,
    isDiskHealthy: context.isDiskHealthy,
    isBoundToLeader: isBoundToLeader(state, context),
    hasLease: hasLease(state, context),
  };
  const rights = memberRights(member);
  if (rules.voteOnlyWhenRejoined && rules.countOnlyWhenRejoined) return rights;
  const asRejoined = memberRights({ ...member, isRejoining: false });
  return rules.countOnlyWhenRejoined
    ? { ...asRejoined, countForCommit: rights.countForCommit }
    : { ...rights, countForCommit: asRejoined.countForCommit };
};
