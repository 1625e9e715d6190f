import { expect, test } from "vitest";
import { ClusterFixture } from "../replication/fleet-stage.js";

const withoutBootstrap = { bootstrap: false };

/** Whether the newest leader has logged the appearance of every edge since its election. */
const hasSeenAllEdges = (cluster: ClusterFixture): boolean => {
  const electedIndex = cluster.logLines.findLastIndex((line) => line.includes("leader elected"));
  const linesSinceElection = cluster.logLines
    .slice(electedIndex)
    .filter((line) => line.includes("daemon appeared"));
  return cluster.machines
    .filter(({ disk }) => !disk)
    .every(({ settings }) =>
      linesSinceElection.some((line) => line.includes(`"${settings.machine}"`)),
    );
};

test("a daemon whose seeds are all edges finds the leader, and finds the next one after an election", () => {
  const cluster = new ClusterFixture(["e:a", "e:b", "e:c", "d:a", "d:b", "d:c", "e:d"], [0, 1, 2]);
  const lateEdge = cluster.machineAt(6);
  for (const machine of cluster.machines) if (machine !== lateEdge) cluster.boot(machine);
  cluster.wait(4000);
  cluster.boot(lateEdge, withoutBootstrap);
  expect(
    cluster.waitUntil(() => lateEdge.daemon?.servingState.isGranted === true, 2000),
  ).toBeLessThan(300);
  const previousLeader = cluster.leader;
  cluster.kill(previousLeader);
  const hasLeader = (): boolean =>
    cluster.diskMachines.some(({ daemon }) => daemon?.replicationNode?.holdsLease === true);
  cluster.waitUntil(hasLeader, 3000);
  expect(cluster.waitUntil(() => hasSeenAllEdges(cluster), 2000)).toBeLessThan(200);
});

test("after the leader is partitioned from all machines, the next leader receives requests of all edges within a second", () => {
  const takeoverMs: number[] = [];
  for (let offsetMs = 0; offsetMs < 200; offsetMs += 20) {
    const cluster = new ClusterFixture(["e:a", "e:b", "e:c", "d:a", "d:b", "d:c"], [0, 1, 2]);
    cluster.bootAll();
    cluster.wait(4000 + offsetMs);
    const previousLeader = cluster.leader;
    for (const machine of cluster.machines)
      if (machine !== previousLeader) cluster.partition(previousLeader, machine);
    const hasNewLeader = (): boolean =>
      cluster.diskMachines.some(
        (machine) =>
          machine !== previousLeader && machine.daemon?.replicationNode?.holdsLease === true,
      );
    const electedMs = cluster.waitUntil(hasNewLeader, 3000);
    takeoverMs.push(electedMs + cluster.waitUntil(() => hasSeenAllEdges(cluster), 2000));
  }
  expect(takeoverMs.filter((ms) => ms >= 1000)).toEqual([]);
});

/** Only a relay through another member reaches the leader here; without it the edge would lose its lease and stop serving. */
test("an edge that is partitioned from only the leader renews its lease through another member", () => {
  const cluster = new ClusterFixture(["e:a", "e:b", "d:a", "d:b", "d:c"], [0, 1]);
  cluster.bootAll();
  cluster.wait(4000);
  const edge = cluster.machineAt(0);
  cluster.partition(edge, cluster.leader);
  for (let round = 0; round < 100; round += 1) {
    cluster.wait(100);
    expect(edge.daemon?.servingState.isGranted).toBe(true);
  }
});
