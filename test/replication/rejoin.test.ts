/** Nodes that lost their disks: they must not count until they have all entries that they may have acknowledged. */
import { expect, test } from "vitest";
import { configText, ClusterFixture } from "./fleet-stage.js";

const hasLeader = (cluster: ClusterFixture) => (): boolean =>
  cluster.diskMachines.some(({ daemon }) => daemon?.replicationNode?.holdsLease === true);
const restartSettings = { bootstrap: false };

test("a node that lost its disk and whose seeds are all edges rejoins, and counts for commits again", () => {
  const cluster = new ClusterFixture(["e:a", "e:b", "e:c", "d:a", "d:b", "d:c"], [0, 1, 2]);
  cluster.bootAll();
  cluster.waitUntil(hasLeader(cluster), 5000);
  expect(cluster.commitConfig(1)).toBe(true);
  const { leader } = cluster;
  const [emptied, other] = cluster.diskMachines.filter((machine) => machine !== leader);
  if (!emptied || !other) throw new Error("There are too few nodes.");
  const fleet = cluster.fleetIdOf(emptied);
  cluster.kill(emptied, true);
  cluster.boot(emptied, restartSettings);
  cluster.waitUntil(() => emptied.status?.state === "formed", 4000);
  expect(cluster.fleetIdOf(emptied)).toBe(fleet);
  cluster.kill(other);
  expect(cluster.commitConfig(2)).toBe(true);
  expect(cluster.readConfig(emptied, 1)).toBe(configText(1));
});

test("a node that lost its disk finds the log through edges that restarted at the same time", () => {
  const cluster = new ClusterFixture(["e:a", "e:b", "e:c", "d:a", "d:b", "d:c"], [0, 1, 2]);
  cluster.bootAll();
  cluster.waitUntil(hasLeader(cluster), 5000);
  const [emptied] = cluster.diskMachines.filter((machine) => machine !== cluster.leader);
  if (!emptied) throw new Error("There are too few nodes.");
  const edges = [0, 1, 2].map((at) => cluster.machineAt(at));
  for (const machine of edges) cluster.kill(machine);
  cluster.kill(emptied, true);
  for (const machine of [...edges, emptied]) cluster.boot(machine, restartSettings);
  cluster.waitUntil(() => emptied.status?.state === "formed", 5000);
  cluster.waitUntil(
    () => edges.every(({ daemon }) => daemon?.servingState.isGranted === true),
    3000,
  );
});

test("an acknowledged entry survives the loss of any two of five disks immediately after the acknowledgment", () => {
  for (let one = 0; one < 5; one += 1)
    for (let two = one + 1; two < 5; two += 1) {
      const cluster = new ClusterFixture(["d:a", "d:b", "d:c", "d:a", "d:b", "e:c"], [0, 1, 5], {
        tolerate: { machines: 2, zones: 0 },
      });
      cluster.bootAll();
      cluster.waitUntil(hasLeader(cluster), 5000);
      expect(cluster.leader.status?.voters).toHaveLength(5);
      expect(cluster.commitConfig(1)).toBe(true);
      const emptied = [cluster.machineAt(one), cluster.machineAt(two)];
      for (const machine of cluster.diskMachines) cluster.kill(machine, emptied.includes(machine));
      for (const machine of cluster.diskMachines) cluster.boot(machine, restartSettings);
      cluster.waitUntil(hasLeader(cluster), 6000);
      cluster.waitUntil(() => emptied.every((machine) => machine.status?.state === "formed"), 6000);
      for (const machine of cluster.diskMachines
        .filter((machine) => !emptied.includes(machine))
        .slice(0, 2))
        cluster.kill(machine);
      cluster.waitUntil(hasLeader(cluster), 6000);
      expect(cluster.readConfig(cluster.leader, 1)).toBe(configText(1));
      expect(cluster.commitConfig(2)).toBe(true);
    }
});

test("voters that lost their disks don't count until they have rejoined: three of five voters, two of them empty, elect no leader", () => {
  const cluster = new ClusterFixture(["d:a", "d:b", "d:c", "d:a", "d:b", "e:c"], [0, 1, 5], {
    tolerate: { machines: 2, zones: 0 },
  });
  cluster.bootAll();
  cluster.waitUntil(hasLeader(cluster), 5000);
  expect(cluster.commitConfig(1)).toBe(true);
  const [one, two, three, four, five] = cluster.diskMachines;
  if (!one || !two || !three || !four || !five) throw new Error("There are too few nodes.");
  for (const machine of cluster.diskMachines)
    cluster.kill(machine, machine === one || machine === two);
  for (const machine of [one, two, three]) cluster.boot(machine, restartSettings);
  cluster.wait(8000);
  expect(hasLeader(cluster)()).toBe(false);
  for (const machine of [four, five]) cluster.boot(machine, restartSettings);
  cluster.waitUntil(hasLeader(cluster), 6000);
  expect(cluster.readConfig(cluster.leader, 1)).toBe(configText(1));
});

test("learners replace two of five voters that are lost permanently, one after the other", () => {
  const cluster = new ClusterFixture(["d:a", "d:b", "d:c", "d:a", "d:b", "d:c", "d:a"], [0, 1, 2], {
    tolerate: { machines: 2, zones: 0 },
  });
  cluster.bootAll();
  cluster.waitUntil(hasLeader(cluster), 5000);
  cluster.wait(1000);
  const { voters = [], learners = [] } = cluster.leader.status ?? {};
  expect([voters.length, learners.length]).toEqual([5, 2]);
  const { leader } = cluster;
  const lost = cluster.diskMachines
    .filter((machine) => machine !== leader && voters.includes(machine.peer))
    .slice(0, 2);
  for (const machine of lost) cluster.kill(machine, true);
  cluster.wait(20_000);
  expect([...(cluster.leader.status?.voters ?? [])].sort()).toEqual(
    [...voters, ...learners]
      .filter((peer) => !lost.some((machine) => machine.peer === peer))
      .sort(),
  );
  expect(cluster.commitConfig(1)).toBe(true);
});

test("a running node uses new seeds", () => {
  const cluster = new ClusterFixture(["e:a", "d:a", "d:b", "d:c", "d:d"], [0]);
  const joining = cluster.machineAt(4);
  for (const machine of cluster.machines) if (machine !== joining) cluster.boot(machine);
  cluster.waitUntil(hasLeader(cluster), 5000);
  cluster.boot(joining, { ...restartSettings, seeds: ["10.9.9.9:1"] });
  cluster.wait(3000);
  expect(joining.status?.state).toBe("empty");
  joining.daemon?.setSeeds([cluster.machineAt(0).peer]);
  cluster.waitUntil(() => joining.status?.state === "formed", 4000);
});
