import { expect, test } from "vitest";
import { runTask } from "../../../src/runtime/task.js";
import {
  restoreAsOnlyVoter,
  type RestoreResult,
} from "../../../src/replication/bootstrap/restore-as-only-voter.js";
import { shippedProfiles } from "../../../src/simulation/profile.js";
import { Simulation } from "../../../src/simulation/simulation.js";

test("a cluster that lost two of three disks is restored from the third; empty nodes join it and vote again", () => {
  const simulation = new Simulation(shippedProfiles.rastro, 1, 0.01);
  const fail = (error: unknown): void => {
    throw error;
  };
  const wait = (forMs: number): void =>
    simulation.virtualClock.runUntil(simulation.virtualClock.nowMs() + forMs);
  simulation.startAll();
  simulation.start(simulation.workload.putConfig());
  wait(4000);
  const core = simulation.machines.filter(({ disk }) => disk);
  for (const machine of core) simulation.kill(machine);
  const [kept, ...lost] = core;
  if (!kept?.disk) throw new Error("No disk is left.");
  kept.disk.restart(simulation.clock);
  const outcomes: RestoreResult[] = [];
  runTask(restoreAsOnlyVoter(kept.disk, kept.settings.peers), fail, (outcome) =>
    outcomes.push(outcome),
  );
  wait(100);
  expect(outcomes[0]?.kind).toBe("restored");
  for (const machine of lost) machine.disk?.wipe();
  simulation.boot(kept);
  wait(3000);
  expect(kept.daemon?.replicationNode?.status).toMatchObject({
    role: "leader",
    voters: [kept.settings.peers],
  });
  for (const machine of lost) simulation.boot(machine);
  wait(12_000);
  expect(kept.daemon?.replicationNode?.status.voters).toHaveLength(3);
  expect(lost.map(({ daemon }) => daemon?.replicationNode?.status.state)).toEqual([
    "formed",
    "formed",
  ]);
  simulation.kill(kept);
  wait(3000);
  expect(lost.some(({ daemon }) => daemon?.replicationNode?.holdsLease)).toBe(true);
  simulation.start(simulation.workload.readBack());
  wait(3000);
  expect(simulation.recorder.ofKind("readBack").map(({ text }) => text)).toEqual(
    simulation.recorder.ofKind("accepted").map(({ text }) => text),
  );
});
