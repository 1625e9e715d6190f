import { expect, test } from "vitest";
import { safetyRules } from "../../src/consensus/safety-rules.js";
import type { RuleViolation } from "../../src/simulation/invariant-checker.js";
import type { ConfigCommandRecord, CommandAttempt } from "../../src/simulation/event-recorder.js";
import { type Profile, shippedProfiles, fiveMemberProfile } from "../../src/simulation/profile.js";
import {
  runSimulation,
  type SimulationOptions,
  type SimulationResult,
} from "../../src/simulation/simulated-day.js";

/** The time in which a config change is acknowledged while no more members are lost than tolerated. */
const ACK_MS = 5000;

/** High enough that the few clients that hang up make less than a tenth of the requests of the last seconds. */
const rateOf = (profile: Profile): number => (profile === shippedProfiles.kovacic ? 0.15 : 0.04);

const runWithFault = (
  fault: string,
  { profile = shippedProfiles.rastro, ...overrides }: Partial<SimulationOptions> = {},
): SimulationResult =>
  runSimulation({
    profile,
    seed: 17,
    faultPeriodMs: 2000,
    rateFactor: rateOf(profile),
    faultNames: [fault],
    concurrentFaults: 1,
    ...overrides,
  });
const violatedRules = (result: SimulationResult): string[] => [
  ...new Set(result.violations.map(({ rule }: RuleViolation) => rule)),
];
const countAccepted = (
  commands: readonly ConfigCommandRecord[],
  fromMs: number,
  untilMs: number,
): number =>
  commands.filter(
    ({ outcome, endMs }) => outcome === "accepted" && endMs >= fromMs && endMs < untilMs,
  ).length;

const partitionFaults = ["cutMemberForLong", "cutMemberOutwardForLong", "cutMemberInwardForLong"];
// Guards against two versions being accepted on both sides of a partition, and against rejecting valid changes.
test.each(partitionFaults)(
  "config changes on both sides of a member's 20 s partition are acknowledged within 5 s and stay linearizable: %s",
  (fault) => {
    const result = runWithFault(fault);
    const { recorder } = result.simulation;
    const partitions = recorder.ofKind("memberPartitioned");
    expect(result.violations).toEqual([]);
    expect(partitions.length).toBeGreaterThan(0);
    for (const { atMs, endMs, daemon } of partitions) {
      for (let fromMs = atMs; fromMs < endMs; fromMs += ACK_MS)
        expect(countAccepted(recorder.configCommands, fromMs, fromMs + ACK_MS)).toBeGreaterThan(0);
      const memberAttempts: CommandAttempt[] = recorder.configCommands
        .flatMap(({ attempts }) => attempts)
        .filter(
          (attempt) =>
            attempt.daemon === daemon && attempt.startMs >= atMs && attempt.endMs < endMs,
        );
      expect(memberAttempts.length).toBeGreaterThan(5);
      expect(
        memberAttempts.filter(({ code }) => code !== 200 && code !== 412 && code < 500),
      ).toEqual([]);
    }
  },
);

// Operators whose response is lost retry a change that may already be accepted, by a leader that loses power.
test("8 concurrent changes to one version stay linearizable while responses are lost and the acknowledging member loses power", () => {
  const result = runWithFault("loseOperatorAnswers", { profile: shippedProfiles.kovacic });
  const { recorder } = result.simulation;
  expect(result.violations).toEqual([]);
  expect(recorder.ofKind("killed").length).toBeGreaterThan(3);
  const retried = recorder.configCommands.filter(
    ({ outcome, attempts }) => outcome === "accepted" && attempts.length > 1,
  );
  expect(retried.length).toBeGreaterThan(2);
  expect(
    recorder.configCommands.filter(({ outcome }) => outcome === "lost").length,
  ).toBeGreaterThan(8);
});

const replacements = [
  "replaceMembersSuddenly",
  "replaceMembersInOrder",
  "replaceMembersAfterLosses",
].flatMap((fault) =>
  [shippedProfiles.rastro, shippedProfiles.kovacic, fiveMemberProfile].map((profile) => ({
    fault,
    profile,
  })),
);
// A voter that is lost before its predecessor is replaced would leave no majority.
test.each(replacements)(
  "config changes are acknowledged within 5 s while members are lost as often as tolerated: $fault, $profile.name",
  ({ fault, profile }) => {
    const result = runWithFault(fault, { profile });
    const { recorder } = result.simulation;
    expect(result.violations).toEqual([]);
    expect(recorder.ofKind("membersLost").length).toBeGreaterThan(3);
    const commands = recorder.ofKind("commandTimed");
    expect(commands.length).toBe(recorder.ofKind("membersLost").length);
    expect(commands.filter(({ waitedMs }) => waitedMs > ACK_MS)).toEqual([]);
  },
);

// A lagging member that isn't caught up in time leaves no majority when the others are killed.
test("config changes are acknowledged within 5 s after a member missed 300 of them and the others are killed in turn", () => {
  const result = runWithFault("changeWhileMemberIsAway");
  const { recorder } = result.simulation;
  expect(result.violations).toEqual([]);
  expect(recorder.ofKind("accepted").length).toBeGreaterThan(300);
  const commands = recorder.ofKind("commandTimed");
  expect(commands.length).toBeGreaterThan(1);
  expect(commands.filter(({ waitedMs }) => waitedMs > ACK_MS)).toEqual([]);
});

// A member that restarts first must not lead with its old state.
test("config changes are acknowledged within 5 s after all members are killed and one that missed 60 changes restarts first", () => {
  const result = runWithFault("restartAllWithMemberBehind");
  const commands = result.simulation.recorder.ofKind("commandTimed");
  expect(result.violations).toEqual([]);
  expect(commands.length).toBeGreaterThan(0);
  expect(commands.filter(({ waitedMs }) => waitedMs > ACK_MS)).toEqual([]);
});

test("no rule is violated while responses are garbled, duplicated or lost, edges stop and addresses are reassigned", () => {
  const result = runWithFault("garbleDuringStops", { rateFactor: 0.15 });
  const { recorder } = result.simulation;
  expect(result.violations).toEqual([]);
  expect(recorder.ofKind("stopped").length).toBeGreaterThan(2);
  expect(recorder.ofKind("left").length).toBeGreaterThan(1);
  expect(recorder.ofKind("reused").length).toBeGreaterThan(1);
});

// The following tests weaken the product on purpose and expect the simulator to find the violated rule.

test("with a fixed delay of 10 s until a lost voter is replaced, the second loss leaves no majority", () => {
  const result = runWithFault("replaceMembersSuddenly", {
    replicationTimeouts: { replaceAfterMs: 10_000 },
  });
  expect(violatedRules(result)).toContain(
    "90% of requests are served from 15 s after the last fault",
  );
});
test("with a leader lease of 60 s, a partitioned leader returns stale configs", () => {
  const result = runWithFault("cutMemberForLong", {
    replicationTimeouts: { leaderLeaseMs: 60_000 },
  });
  expect(violatedRules(result)).toContain("config changes and reads are linearizable");
});
test("with votes for candidates whose log is not up to date, a lagging member leads with a stale state", () => {
  const originalRules = { ...safetyRules };
  Object.assign(safetyRules, { voteOnlyForUpToDateLog: false });
  const violated = [18, 19, 20, 21].flatMap((seed) =>
    violatedRules(runWithFault("restartAllWithMemberBehind", { seed })),
  );
  Object.assign(safetyRules, originalRules);
  expect(violated).toContain("config changes and reads are linearizable");
});
