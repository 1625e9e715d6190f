import { expect, test } from "vitest";
import { ClusterFixture } from "../replication/fleet-stage.js";

const later = { bootstrap: false };

/** Whether the newest leader has seen all edges. */
const edgesSeen = (stage: ClusterFixture): boolean => {
  const electedIndex = stage.logLines.findLastIndex((line) => line.includes("leader elected"));
  const since = stage.logLines
    .slice(electedIndex)
    .filter((line) => line.includes("daemon appeared"));
  return stage.machines
    .filter(({ disk }) => !disk)
    .every(({ settings }) => since.some((line) => line.includes(`"${settings.machine}"`)));
};

test("a daemon whose seeds are all edges finds the leader, also after a new one was elected", () => {
  const stage = new ClusterFixture(["e:a", "e:b", "e:c", "d:a", "d:b", "d:c", "e:d"], [0, 1, 2]);
  const late = stage.machineAt(6);
  for (const machine of stage.machines) if (machine !== late) stage.boot(machine);
  stage.wait(4000);
  stage.boot(late, later);
  expect(stage.waitUntil(() => late.daemon?.servingState.isGranted === true, 2000)).toBeLessThan(
    300,
  );
  const former = stage.leader;
  stage.kill(former);
  const isLed = (): boolean =>
    stage.diskMachines.some(({ daemon }) => daemon?.replicationNode?.holdsLease === true);
  stage.waitUntil(isLed, 3000);
  expect(stage.waitUntil(() => edgesSeen(stage), 2000)).toBeLessThan(200);
});

test("when the leader is partitioned from all machines, the next leader has seen all edges within a second", () => {
  const takeoverMs: number[] = [];
  for (let offsetMs = 0; offsetMs < 200; offsetMs += 20) {
    const stage = new ClusterFixture(["e:a", "e:b", "e:c", "d:a", "d:b", "d:c"], [0, 1, 2]);
    stage.bootAll();
    stage.wait(4000 + offsetMs);
    const former = stage.leader;
    for (const machine of stage.machines) if (machine !== former) stage.partition(former, machine);
    const next = (): boolean =>
      stage.diskMachines.some(
        (machine) => machine !== former && machine.daemon?.replicationNode?.holdsLease === true,
      );
    const ledMs = stage.waitUntil(next, 3000);
    takeoverMs.push(ledMs + stage.waitUntil(() => edgesSeen(stage), 2000));
  }
  expect(takeoverMs.filter((ms) => ms >= 1000)).toEqual([]);
});

test("an edge that is partitioned from the leader alone keeps its lease through another member", () => {
  const stage = new ClusterFixture(["e:a", "e:b", "d:a", "d:b", "d:c"], [0, 1]);
  stage.bootAll();
  stage.wait(4000);
  const edge = stage.machineAt(0);
  stage.partition(edge, stage.leader);
  for (let round = 0; round < 100; round += 1) {
    stage.wait(100);
    expect(edge.daemon?.servingState.isGranted).toBe(true);
  }
});
