import { expect, test } from "vitest";
import { shippedProfiles } from "../../src/simulation/profile.js";
import { runSimulation } from "../../src/simulation/simulated-day.js";

const runs = Object.values(shippedProfiles).flatMap((profile) =>
  [1, 2, 3].map((seed) => ({ profile, seed, name: `${profile.name}, seed ${seed}` })),
);
test.each(runs)("a run with all kinds of faults violates no rule: $name", ({ profile, seed }) => {
  const result = runSimulation({
    profile,
    seed,
    faultPeriodMs: 12_000,
    rateFactor: profile.name === "rastro" ? 0.08 : 0.2,
  });
  expect(result.violations).toEqual([]);
  expect(result.requests).toBeGreaterThan(500);
  expect(result.elections).toBeGreaterThan(0);
});
const faultGroups: Record<string, string[]> = {
  "reassigned addresses": ["reuseAddress", "reuseManyAddresses"],
  "partitions, slow connections and packet loss toward clients and backends": [
    "cutFromCallers",
    "cutFromBackEnds",
    "cutBackEndsOff",
    "slowConnects",
    "slowNetwork",
    "lossySeconds",
  ],
  "failing services while edges and leaders are killed and clients stop": [
    "breakDownService",
    "restartEdgesInBreakdown",
    "stopCallersAfterPeak",
    "killLeader",
  ],
  "disks lost, filled and stalled during writes and rejoins": [
    "loseDiskAfterYes",
    "killWhileRejoining",
    "fillAndStallDisk",
    "loseDisk",
  ],
  "loss of whole services, a zone and all machines": [
    "emptyService",
    "crashMostBackEnds",
    "killAll",
    "loseZoneWithLeader",
  ],
};
test.each(Object.keys(faultGroups))(
  "a run with one group of faults violates no rule: %s",
  (group) => {
    const result = runSimulation({
      profile: shippedProfiles.rastro,
      seed: 11,
      faultPeriodMs: 9000,
      rateFactor: 0.08,
      ...(faultGroups[group] ? { faultNames: faultGroups[group] } : {}),
    });
    expect(result.violations).toEqual([]);
    expect(result.injectedFaults.length).toBeGreaterThan(1);
  },
);
// Edges can still reach the partitioned leader, whose leases they must not wait for.
test("edges switch from a leader that is partitioned from the other members, and keep serving", () => {
  const result = runSimulation({
    profile: shippedProfiles.kovacic,
    seed: 1,
    faultPeriodMs: 10_000,
    rateFactor: 0.03,
    faultNames: ["cutLeaderFromCore"],
    concurrentFaults: 1,
  });
  expect(result.violations).toEqual([]);
  const requests = result.simulation.recorder.clientRecords.filter(
    ({ sentMs, path, failure }) =>
      sentMs >= 8000 &&
      sentMs < result.simulation.recorder.endMs &&
      !path.startsWith("/probe/") &&
      failure !== "hungUp",
  );
  expect(requests.length).toBeGreaterThan(150);
  expect(
    requests.filter(({ code, isComplete }) => code < 200 || code > 299 || !isComplete),
  ).toEqual([]);
});
test("the same seed produces the same log lines", () => {
  const simulateLogLines = (): string[] =>
    runSimulation({
      profile: shippedProfiles.kovacic,
      seed: 5,
      faultPeriodMs: 3000,
      rateFactor: 0.1,
      faultNames: ["killLeader", "cutOffLeader"],
    }).simulation.logLines;
  expect(simulateLogLines()).toEqual(simulateLogLines());
});
