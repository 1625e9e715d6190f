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

/** Within which an operator's order is acknowledged while no more is lost than may be. */
const ackMs = 5000;

/** Enough requests in the last seconds that a few callers who hang up don't make a tenth of them. */
const rateOf = (profile: Profile): number => (profile === shippedProfiles.kovacic ? 0.15 : 0.04);

const dayOf = (
  fault: string,
  { profile = shippedProfiles.rastro, ...options }: Partial<SimulationOptions> = {},
): SimulationResult =>
  runSimulation({
    profile,
    seed: 17,
    faultPeriodMs: 2000,
    rateFactor: rateOf(profile),
    faultNames: [fault],
    concurrentFaults: 1,
    ...options,
  });
const brokenRules = (day: SimulationResult): string[] => [
  ...new Set(day.violations.map(({ rule }: RuleViolation) => rule)),
];
const acceptedIn = (
  commands: readonly ConfigCommandRecord[],
  fromMs: number,
  untilMs: number,
): number =>
  commands.filter(
    ({ outcome, endMs }) => outcome === "accepted" && endMs >= fromMs && endMs < untilMs,
  ).length;

const sides = ["cutMemberForLong", "cutMemberOutwardForLong", "cutMemberInwardForLong"];
test.each(sides)("a member is cut off for 20 s while operators race on both sides: %s", (fault) => {
  const day = dayOf(fault);
  const { recorder } = day.simulation;
  const cuts = recorder.ofKind("memberCut");
  expect(day.violations).toEqual([]);
  expect(cuts.length).toBeGreaterThan(0);
  for (const { atMs, endMs, daemon } of cuts) {
    for (let fromMs = atMs; fromMs < endMs; fromMs += ackMs)
      expect(acceptedIn(recorder.configCommands, fromMs, fromMs + ackMs)).toBeGreaterThan(0);
    const inside: CommandAttempt[] = recorder.configCommands
      .flatMap(({ attempts }) => attempts)
      .filter((one) => one.daemon === daemon && one.startMs >= atMs && one.endMs < endMs);
    expect(inside.length).toBeGreaterThan(5);
    expect(inside.filter(({ code }) => code !== 200 && code !== 412 && code < 500)).toEqual([]);
  }
});

test("eight orders race for a number, answers are lost, and who acknowledged loses power", () => {
  const day = dayOf("loseOperatorAnswers", { profile: shippedProfiles.kovacic });
  const { recorder } = day.simulation;
  expect(day.violations).toEqual([]);
  expect(recorder.ofKind("killed").length).toBeGreaterThan(3);
  const again = recorder.configCommands.filter(
    ({ outcome, attempts }) => outcome === "accepted" && attempts.length > 1,
  );
  expect(again.length).toBeGreaterThan(2);
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
test.each(replacements)(
  "members are lost as soon as that is allowed, again and again: $fault, $profile.name",
  ({ fault, profile }) => {
    const day = dayOf(fault, { profile });
    const { recorder } = day.simulation;
    expect(day.violations).toEqual([]);
    expect(recorder.ofKind("membersLost").length).toBeGreaterThan(3);
    const commands = recorder.ofKind("orderedDuring");
    expect(commands.length).toBe(recorder.ofKind("membersLost").length);
    expect(commands.filter(({ waitedMs }) => waitedMs > ackMs)).toEqual([]);
  },
);

test("a member was away for 300 changes when the others are lost in turn", () => {
  const day = dayOf("changeWhileMemberIsAway");
  const { recorder } = day.simulation;
  expect(day.violations).toEqual([]);
  expect(recorder.ofKind("accepted").length).toBeGreaterThan(300);
  const commands = recorder.ofKind("orderedDuring");
  expect(commands.length).toBeGreaterThan(1);
  expect(commands.filter(({ waitedMs }) => waitedMs > ackMs)).toEqual([]);
});

test("all are killed at once, and a member that is behind by 60 changes is back before the others", () => {
  const day = dayOf("restartAllWithMemberBehind");
  const commands = day.simulation.recorder.ofKind("orderedDuring");
  expect(day.violations).toEqual([]);
  expect(commands.length).toBeGreaterThan(0);
  expect(commands.filter(({ waitedMs }) => waitedMs > ackMs)).toEqual([]);
});

test("answers come garbled, twice, late or not at all while edges stop and addresses change hands", () => {
  const day = dayOf("garbleDuringStops", { rateFactor: 0.15 });
  const { recorder } = day.simulation;
  expect(day.violations).toEqual([]);
  expect(recorder.ofKind("stopped").length).toBeGreaterThan(2);
  expect(recorder.ofKind("left").length).toBeGreaterThan(1);
  expect(recorder.ofKind("reused").length).toBeGreaterThan(1);
});

test("with a fixed 10 s until a lost voter is replaced, the second loss leaves no majority", () => {
  const day = dayOf("replaceMembersSuddenly", { replicationTimeouts: { replaceAfterMs: 10_000 } });
  expect(brokenRules(day)).toContain("most requests are served 15 s after a fault");
});
test("with a leader that answers without asking its majority, a cut leader shows what is old", () => {
  const day = dayOf("cutMemberForLong", { replicationTimeouts: { leaderLeaseMs: 60_000 } });
  expect(brokenRules(day)).toContain("operators see one register of configs");
});
test("with votes for whoever stands, a member that is behind leads with an old state", () => {
  const kept = { ...safetyRules };
  Object.assign(safetyRules, { voteOnlyForUpToDateLog: false });
  const broken = [18, 19, 20, 21].flatMap((seed) =>
    brokenRules(dayOf("restartAllWithMemberBehind", { seed })),
  );
  Object.assign(safetyRules, kept);
  expect(broken).toContain("operators see one register of configs");
});
