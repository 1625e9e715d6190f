/** The leader's decision on the group's membership, by the production policy. */
import type { Members } from "../consensus/members.js";
import type { ConsensusState } from "../consensus/state.js";
import { MembershipPolicy } from "../replication/membership/membership-policy.js";
import type { GroupSettings } from "./group-settings.js";

/** The members after the next change that a leader makes now; undefined where it makes none. */
export const reviewMembership = (
  self: string,
  state: ConsensusState,
  leadingSinceMs: number,
  nowMs: number,
  settings: GroupSettings,
): Members | undefined => {
  const {
    members,
    acknowledgedSentMs,
    responsiveSinceMs,
    matchIndexes: matched,
    committedIndex,
    syncedIndex,
  } = state;
  const change = MembershipPolicy.nextChange({
    self,
    voters: members.voters,
    learners: members.learners,
    stopping: new Set(),
    wantedVoters: settings.wantedVoters,
    committedIndex,
    progressOf: (member) =>
      member === self
        ? { unresponsiveMs: 0, hasAcknowledged: true, responsiveMs: 0, matchIndex: syncedIndex }
        : {
            unresponsiveMs:
              nowMs - Math.max(leadingSinceMs, acknowledgedSentMs.get(member) ?? leadingSinceMs),
            hasAcknowledged: acknowledgedSentMs.has(member),
            responsiveMs: nowMs - (responsiveSinceMs.get(member) ?? nowMs),
            matchIndex: matched.get(member) ?? 0,
          },
    timeouts: {
      responsiveWithinMs: settings.timeouts.electionMaxMs,
      replaceAfterMs: settings.replaceAfterMs,
      responsiveAfterMs: settings.responsiveAfterMs,
      forgetAfterMs: settings.forgetAfterMs,
    },
  });
  return change === undefined ? undefined : MembershipPolicy.applyChange(members, change);
};
