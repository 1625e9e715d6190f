import { expect, test } from "vitest";
import { shippedProfiles } from "../../src/simulation/profile.js";
import { runSimulation } from "../../src/simulation/simulated-day.js";

const days = Object.values(shippedProfiles).flatMap((profile) =>
  [1, 2, 3].map((seed) => ({ profile, seed, name: `${profile.name}, seed ${seed}` })),
);
test.each(days)("a day of all kinds of failures breaks no rule: $name", ({ profile, seed }) => {
  const day = runSimulation({
    profile,
    seed,
    faultPeriodMs: 12_000,
    rateFactor: profile.name === "rastro" ? 0.08 : 0.2,
  });
  expect(day.violations).toEqual([]);
  expect(day.requests).toBeGreaterThan(500);
  expect(day.elections).toBeGreaterThan(0);
});
const points: Record<string, string[]> = {
  "addresses handed over": ["reuseAddress", "reuseManyAddresses"],
  "cuts, slow connections and loss toward callers and back ends": [
    "cutFromCallers",
    "cutFromBackEnds",
    "cutBackEndsOff",
    "slowConnects",
    "slowNetwork",
    "lossySeconds",
  ],
  "services breaking down while edges and leaders die and callers stop": [
    "breakDownService",
    "restartEdgesInBreakdown",
    "stopCallersAfterPeak",
    "killLeader",
  ],
  "disks lost, filled and stalled at the worst moments": [
    "loseDiskAfterYes",
    "killWhileRejoining",
    "fillAndStallDisk",
    "loseDisk",
  ],
  "whole services, zones and all machines gone": [
    "emptyService",
    "crashMostBackEnds",
    "killAll",
    "loseZoneWithLeader",
  ],
};
test.each(Object.keys(points))("a day of one point breaks no rule: %s", (point) => {
  const day = runSimulation({
    profile: shippedProfiles.rastro,
    seed: 11,
    faultPeriodMs: 9000,
    rateFactor: 0.08,
    ...(points[point] ? { faultNames: points[point] } : {}),
  });
  expect(day.violations).toEqual([]);
  expect(day.injectedFaults.length).toBeGreaterThan(1);
});
test("edges leave a leader that is cut from its core, and go on serving", () => {
  const day = runSimulation({
    profile: shippedProfiles.kovacic,
    seed: 1,
    faultPeriodMs: 10_000,
    rateFactor: 0.03,
    faultNames: ["cutLeaderFromCore"],
    concurrentFaults: 1,
  });
  expect(day.violations).toEqual([]);
  const asked = day.simulation.recorder.clientRecords.filter(
    ({ sentMs, path, failure: broke }) =>
      sentMs >= 8000 &&
      sentMs < day.simulation.recorder.endMs &&
      !path.startsWith("/probe/") &&
      broke !== "hungUp",
  );
  expect(asked.length).toBeGreaterThan(150);
  expect(
    asked.filter(({ code, isComplete: isWhole }) => code < 200 || code > 299 || !isWhole),
  ).toEqual([]);
});
test("the same seed makes the same day", () => {
  const lines = (): string[] =>
    runSimulation({
      profile: shippedProfiles.kovacic,
      seed: 5,
      faultPeriodMs: 3000,
      rateFactor: 0.1,
      faultNames: ["killLeader", "cutOffLeader"],
    }).simulation.logLines;
  expect(lines()).toEqual(lines());
});
