import type { Members } from "./members.js";
import { majoritySize } from "./quorum.js";
import type { ConsensusState, DecisionContext } from "./state.js";

/** The entry that sets the members. */
export const membersEntryText = ({ voters, learners }: Members): string =>
  JSON.stringify({ kind: "members", voters, learners });

/**
 * Whether a leader may change the members now: the change before is committed, and so is an entry of this term. Else
 * two leaders could each count by a change that the other doesn't know, and their majorities need not meet.
 */
export const mayChangeMembers = (
  state: ConsensusState,
  { rules }: Pick<DecisionContext, "rules">,
): boolean =>
  state.role === "leader" &&
  (state.membersIndex <= state.committedIndex || !rules.oneMembershipChangeAtATime) &&
  (state.committedIndex >= state.leadingSinceIndex || !rules.changeMembersOnlyInCommittedTerm);

/** Whether each majority of one set of voters meets each majority of another. */
export const majoritiesOverlap = (one: Members, other: Members): boolean => {
  const all = new Set([...one.voters, ...other.voters]);
  const shared = one.voters.filter((voter) => other.voters.includes(voter)).length;
  const onlyOne = one.voters.length - shared;
  const onlyOther = other.voters.length - shared;
  const neededOfShared =
    Math.max(0, majoritySize(one) - onlyOne) + Math.max(0, majoritySize(other) - onlyOther);
  return all.size > 0 && neededOfShared > shared;
};
