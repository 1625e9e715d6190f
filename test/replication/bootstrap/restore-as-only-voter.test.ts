/** The restore of a log after its majority was lost permanently. */
import { expect, test } from "vitest";
import { runTask } from "../../../src/runtime/task.js";
import {
  restoreAsOnlyVoter,
  type RestoreResult,
} from "../../../src/replication/bootstrap/restore-as-only-voter.js";
import { shippedProfiles } from "../../../src/simulation/profile.js";
import { Simulation } from "../../../src/simulation/simulation.js";

test("a cluster that lost two of three disks is restored from the third, and empty nodes join it as voters", () => {
  const simulation = new Simulation(shippedProfiles.rastro, 1, 0.01);
  const fail = (error: unknown): void => {
    throw error;
  };
  const wait = (durationMs: number): void =>
    simulation.virtualClock.runUntil(simulation.virtualClock.nowMs() + durationMs);
  simulation.startAll();
  simulation.start(simulation.workload.putConfig());
  wait(4000);
  const diskMachines = simulation.machines.filter(({ disk }) => disk);
  for (const machine of diskMachines) simulation.kill(machine);
  const [survivor, ...lost] = diskMachines;
  if (!survivor?.disk) throw new Error("The cluster has no machine with a disk.");
  survivor.disk.restart(simulation.clock);
  const outcomes: RestoreResult[] = [];
  runTask(restoreAsOnlyVoter(survivor.disk, survivor.settings.peers), fail, (outcome) =>
    outcomes.push(outcome),
  );
  wait(100);
  expect(outcomes[0]?.kind).toBe("restored");
  for (const machine of lost) machine.disk?.wipe();
  simulation.boot(survivor);
  wait(3000);
  expect(survivor.daemon?.replicationNode?.status).toMatchObject({
    role: "leader",
    voters: [survivor.settings.peers],
  });
  for (const machine of lost) simulation.boot(machine);
  wait(12_000);
  expect(survivor.daemon?.replicationNode?.status.voters).toHaveLength(3);
  expect(lost.map(({ daemon }) => daemon?.replicationNode?.status.state)).toEqual([
    "formed",
    "formed",
  ]);
  simulation.kill(survivor);
  wait(3000);
  expect(lost.some(({ daemon }) => daemon?.replicationNode?.holdsLease)).toBe(true);
  simulation.start(simulation.workload.readBack());
  wait(3000);
  expect(simulation.recorder.ofKind("readBack").map(({ text }) => text)).toEqual(
    simulation.recorder.ofKind("accepted").map(({ text }) => text),
  );
});
