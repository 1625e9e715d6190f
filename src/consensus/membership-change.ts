/** When a leader may change the members of the log. */
import type { Members } from "./members.js";
import { majoritySize } from "./quorum.js";
import type { ConsensusState, DecisionContext } from "./state.js";

/** The text of the log entry that sets the members. */
export const membersEntryText = ({ voters, learners }: Members): string =>
  JSON.stringify({ kind: "members", voters, learners });

/**
 * Whether a leader may change the members now: the previous change and an entry of this term must be committed. Otherwise two
 * leaders could each count majorities by a change that the other doesn't know, and these majorities might not overlap.
 */
export const mayChangeMembers = (
  state: ConsensusState,
  { rules }: Pick<DecisionContext, "rules">,
): boolean =>
  state.role === "leader" &&
  (state.membersIndex <= state.committedIndex || !rules.oneMembershipChangeAtATime) &&
  (state.committedIndex >= state.leadingSinceIndex || !rules.changeMembersOnlyInCommittedTerm);

/** Whether every majority of one set of voters shares a voter with every majority of another. */
export const majoritiesOverlap = (first: Members, second: Members): boolean => {
  const all = new Set([...first.voters, ...second.voters]);
  const shared = first.voters.filter((voter) => second.voters.includes(voter)).length;
  const onlyInFirst = first.voters.length - shared;
  const onlyInSecond = second.voters.length - shared;
  const neededOfShared =
    Math.max(0, majoritySize(first) - onlyInFirst) +
    Math.max(0, majoritySize(second) - onlyInSecond);
  return all.size > 0 && neededOfShared > shared;
};
