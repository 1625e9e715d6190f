/** Checks that a group recovers after all failures have ended. */
import { InvariantViolation } from "./invariant-checks.js";
import type { MemberGroup } from "./member-group.js";
import type { Step } from "./step.js";

const tickMs = 20;
/** The maximum time from the end of all failures until all voters have applied all committed entries, in ms. */
const recoveryTimeoutMs = 12_000;

const advance: Step = { kind: "advance", ms: tickMs, paused: [] };

/** Syncs all pending writes and delivers all messages in order, without failures. */
const completePending = (group: MemberGroup): void => {
  for (const name of group.members.keys())
    while (group.member(name).isUp && group.member(name).disk.pending.length > 0)
      group.execute({ kind: "sync", member: name });
  for (const message of [...group.messages.keys()])
    group.execute({ kind: "deliver", message, twice: false });
};

const hasRecovered = (group: MemberGroup): boolean => {
  const { voters } = group.checks.latestMembers;
  const members = [...group.members.values()];
  return (
    members.some((member) => member.canServeReads) &&
    voters.every(
      (voter) =>
        group.member(voter).hasCompleteDisk &&
        group.member(voter).appliedIndex === group.checks.lastCommittedIndex,
    )
  );
};

/**
 * Ends all failures and advances time until a leader serves reads and all voters have applied all committed entries. A group
 * whose failures exceeded the fault tolerance may stay unavailable.
 */
export const recover = (group: MemberGroup): void => {
  group.blockedLinks.clear();
  for (const name of group.members.keys()) group.execute({ kind: "start", member: name });
  const deadlineMs = group.nowMs + recoveryTimeoutMs;
  while (!hasRecovered(group)) {
    if (group.nowMs > deadlineMs && !group.isWithinTolerance) return;
    if (group.nowMs > deadlineMs) {
      const members = [...group.members.values()].map(
        ({ name, state, hasCompleteDisk }) =>
          `${name} ${state.role} term ${state.term}, log ${state.log.lastIndex}, committed ${state.committedIndex}, ` +
          `voters ${state.members.voters.join("+")}${hasCompleteDisk ? "" : ", disk incomplete"}`,
      );
      throw new InvariantViolation("the group recovers", members.join("; "));
    }
    completePending(group);
    group.execute(advance);
  }
};
