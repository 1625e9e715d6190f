import { expect, test } from "vitest";
import { ClusterFixture } from "../replication/fleet-stage.js";

const withoutBootstrap = { bootstrap: false };

/** Whether the newest leader has logged the appearance of every edge since its election. */
const hasSeenAllEdges = (stage: ClusterFixture): boolean => {
  const electedIndex = stage.logLines.findLastIndex((line) => line.includes("leader elected"));
  const linesSinceElection = stage.logLines
    .slice(electedIndex)
    .filter((line) => line.includes("daemon appeared"));
  return stage.machines
    .filter(({ disk }) => !disk)
    .every(({ settings }) =>
      linesSinceElection.some((line) => line.includes(`"${settings.machine}"`)),
    );
};

test("a daemon whose seeds are all edges finds the leader, and finds the next one after an election", () => {
  const stage = new ClusterFixture(["e:a", "e:b", "e:c", "d:a", "d:b", "d:c", "e:d"], [0, 1, 2]);
  const lateEdge = stage.machineAt(6);
  for (const machine of stage.machines) if (machine !== lateEdge) stage.boot(machine);
  stage.wait(4000);
  stage.boot(lateEdge, withoutBootstrap);
  expect(
    stage.waitUntil(() => lateEdge.daemon?.servingState.isGranted === true, 2000),
  ).toBeLessThan(300);
  const previousLeader = stage.leader;
  stage.kill(previousLeader);
  const hasLeader = (): boolean =>
    stage.diskMachines.some(({ daemon }) => daemon?.replicationNode?.holdsLease === true);
  stage.waitUntil(hasLeader, 3000);
  expect(stage.waitUntil(() => hasSeenAllEdges(stage), 2000)).toBeLessThan(200);
});

test("after the leader is partitioned from all machines, the next leader receives requests of all edges within a second", () => {
  const takeoverMs: number[] = [];
  for (let offsetMs = 0; offsetMs < 200; offsetMs += 20) {
    const stage = new ClusterFixture(["e:a", "e:b", "e:c", "d:a", "d:b", "d:c"], [0, 1, 2]);
    stage.bootAll();
    stage.wait(4000 + offsetMs);
    const previousLeader = stage.leader;
    for (const machine of stage.machines)
      if (machine !== previousLeader) stage.partition(previousLeader, machine);
    const hasNewLeader = (): boolean =>
      stage.diskMachines.some(
        (machine) =>
          machine !== previousLeader && machine.daemon?.replicationNode?.holdsLease === true,
      );
    const electedMs = stage.waitUntil(hasNewLeader, 3000);
    takeoverMs.push(electedMs + stage.waitUntil(() => hasSeenAllEdges(stage), 2000));
  }
  expect(takeoverMs.filter((ms) => ms >= 1000)).toEqual([]);
});

test("an edge that is partitioned from only the leader renews its lease through another member", () => {
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
