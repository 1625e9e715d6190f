import { InvariantViolation } from "./invariant-checks.js";
import type { MemberGroup } from "./member-group.js";
import type { Step } from "./step.js";

const tickMs = 20;
/** How long a group whose failures are over may take until all members hold the same. */
const recoveryTimeoutMs = 12_000;

const advance: Step = { kind: "advance", ms: tickMs, paused: [] };

/** Does all that is waiting, in order, as a network and disks without failures would. */
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

/** Ends all failures and waits: a leader has to answer again, and all voters have to hold all that is committed. */
export const recover = (group: MemberGroup): void => {
  group.blockedLinks.clear();
  for (const name of group.members.keys()) group.execute({ kind: "start", member: name });
  const untilMs = group.nowMs + recoveryTimeoutMs;
  while (!hasRecovered(group)) {
    if (group.nowMs > untilMs && !group.isWithinTolerance) return;
    if (group.nowMs > untilMs) {
      const members = [...group.members.values()].map(
        ({ name, state, hasCompleteDisk: isWhole }) =>
          `${name} ${state.role} term ${state.term}, log ${state.log.lastIndex}, committed ${state.committedIndex}, ` +
          `voters ${state.members.voters.join("+")}${isWhole ? "" : ", not whole"}`,
      );
      throw new InvariantViolation("the group heals", members.join("; "));
    }
    completePending(group);
    group.execute(advance);
  }
};
