import { memberRights, type MemberRights, type MemberState } from "./member-rights.js";
import { hasLease } from "./lease.js";
import type { ConsensusState, DecisionContext } from "./state.js";

/** Whether this member leads, or heard a leader so lately that it may still answer under its lease. */
const isBoundToLeader = (
  state: ConsensusState,
  { nowMs, timeouts: waits, rules }: DecisionContext,
): boolean =>
  rules.refuseVoteWhileLeaderIsHeard &&
  (state.role === "leader" || nowMs - state.lastLeaderContactMs < waits.electionMinMs);

/** What this member may do now, by how whole it is. */
export const memberRightsOf = (state: ConsensusState, context: DecisionContext): MemberRights => {
  const { rules } = context;
  const member: MemberState = {
    stage: context.stage,
    isRejoining: state.rejoinNonce !== "",
    isNamedVoter: state.members.voters.includes(state.self),
    isLeader: state.role === "leader",
    isRetired: context.isRetired,
    isDiskWell: context.isDiskWell,
    isBoundToLeader: isBoundToLeader(state, context),
    hasLease: hasLease(state, context),
  };
  const rights = memberRights(member);
  if (rules.voteOnlyWhenWhole && rules.countOnlyWhenWhole) return rights;
  const asWhole = memberRights({ ...member, isRejoining: false });
  return rules.countOnlyWhenWhole
    ? { ...asWhole, countForCommit: rights.countForCommit }
    : { ...rights, countForCommit: asWhole.countForCommit };
};
