import { expect, test } from "vitest";
import { configText, ClusterFixture } from "./fleet-stage.js";

const hasLeader = (stage: ClusterFixture) => (): boolean =>
  stage.diskMachines.some(({ daemon }) => daemon?.replicationNode?.holdsLease === true);
const restartSettings = { bootstrap: false };

test("a node that lost its disk and whose seeds are all edges rejoins, and counts again", () => {
  const stage = new ClusterFixture(["e:a", "e:b", "e:c", "d:a", "d:b", "d:c"], [0, 1, 2]);
  stage.bootAll();
  stage.waitUntil(hasLeader(stage), 5000);
  expect(stage.commitConfig(1)).toBe(true);
  const { leader } = stage;
  const [emptied, other] = stage.diskMachines.filter((machine) => machine !== leader);
  if (!emptied || !other) throw new Error("There are too few nodes.");
  const fleet = stage.fleetIdOf(emptied);
  stage.kill(emptied, true);
  stage.boot(emptied, restartSettings);
  stage.waitUntil(() => emptied.status?.state === "formed", 4000);
  expect(stage.fleetIdOf(emptied)).toBe(fleet);
  stage.kill(other);
  expect(stage.commitConfig(2)).toBe(true);
  expect(stage.readConfig(emptied, 1)).toBe(configText(1));
});

test("a node that lost its disk finds the log through edges that restarted at the same moment", () => {
  const stage = new ClusterFixture(["e:a", "e:b", "e:c", "d:a", "d:b", "d:c"], [0, 1, 2]);
  stage.bootAll();
  stage.waitUntil(hasLeader(stage), 5000);
  const [emptied] = stage.diskMachines.filter((machine) => machine !== stage.leader);
  if (!emptied) throw new Error("There are too few nodes.");
  const edges = [0, 1, 2].map((at) => stage.machineAt(at));
  for (const machine of edges) stage.kill(machine);
  stage.kill(emptied, true);
  for (const machine of [...edges, emptied]) stage.boot(machine, restartSettings);
  stage.waitUntil(() => emptied.status?.state === "formed", 5000);
  stage.waitUntil(() => edges.every(({ daemon }) => daemon?.servingState.isGranted === true), 3000);
});

test("an acknowledged entry survives the loss of any two of five disks right afterwards", () => {
  for (let one = 0; one < 5; one += 1)
    for (let two = one + 1; two < 5; two += 1) {
      const stage = new ClusterFixture(["d:a", "d:b", "d:c", "d:a", "d:b", "e:c"], [0, 1, 5], {
        tolerate: { machines: 2, zones: 0 },
      });
      stage.bootAll();
      stage.waitUntil(hasLeader(stage), 5000);
      expect(stage.leader.status?.voters).toHaveLength(5);
      expect(stage.commitConfig(1)).toBe(true);
      const emptied = [stage.machineAt(one), stage.machineAt(two)];
      for (const machine of stage.diskMachines) stage.kill(machine, emptied.includes(machine));
      for (const machine of stage.diskMachines) stage.boot(machine, restartSettings);
      stage.waitUntil(hasLeader(stage), 6000);
      stage.waitUntil(() => emptied.every((machine) => machine.status?.state === "formed"), 6000);
      for (const machine of stage.diskMachines
        .filter((machine) => !emptied.includes(machine))
        .slice(0, 2))
        stage.kill(machine);
      stage.waitUntil(hasLeader(stage), 6000);
      expect(stage.readConfig(stage.leader, 1)).toBe(configText(1));
      expect(stage.commitConfig(2)).toBe(true);
    }
});

test("voters that lost their disks don't count until they have rejoined: three of five, two of them empty, commit nothing", () => {
  const stage = new ClusterFixture(["d:a", "d:b", "d:c", "d:a", "d:b", "e:c"], [0, 1, 5], {
    tolerate: { machines: 2, zones: 0 },
  });
  stage.bootAll();
  stage.waitUntil(hasLeader(stage), 5000);
  expect(stage.commitConfig(1)).toBe(true);
  const [one, two, three, four, five] = stage.diskMachines;
  if (!one || !two || !three || !four || !five) throw new Error("There are too few nodes.");
  for (const machine of stage.diskMachines) stage.kill(machine, machine === one || machine === two);
  for (const machine of [one, two, three]) stage.boot(machine, restartSettings);
  stage.wait(8000);
  expect(hasLeader(stage)()).toBe(false);
  for (const machine of [four, five]) stage.boot(machine, restartSettings);
  stage.waitUntil(hasLeader(stage), 6000);
  expect(stage.readConfig(stage.leader, 1)).toBe(configText(1));
});

test("two of five voters are lost for good; learners replace them, one after the other", () => {
  const stage = new ClusterFixture(["d:a", "d:b", "d:c", "d:a", "d:b", "d:c", "d:a"], [0, 1, 2], {
    tolerate: { machines: 2, zones: 0 },
  });
  stage.bootAll();
  stage.waitUntil(hasLeader(stage), 5000);
  stage.wait(1000);
  const { voters = [], learners = [] } = stage.leader.status ?? {};
  expect([voters.length, learners.length]).toEqual([5, 2]);
  const { leader } = stage;
  const lost = stage.diskMachines
    .filter((machine) => machine !== leader && voters.includes(machine.peer))
    .slice(0, 2);
  for (const machine of lost) stage.kill(machine, true);
  stage.wait(20_000);
  expect([...(stage.leader.status?.voters ?? [])].sort()).toEqual(
    [...voters, ...learners]
      .filter((peer) => !lost.some((machine) => machine.peer === peer))
      .sort(),
  );
  expect(stage.commitConfig(1)).toBe(true);
});

test("a node uses new seeds while it runs", () => {
  const stage = new ClusterFixture(["e:a", "d:a", "d:b", "d:c", "d:d"], [0]);
  const late = stage.machineAt(4);
  for (const machine of stage.machines) if (machine !== late) stage.boot(machine);
  stage.waitUntil(hasLeader(stage), 5000);
  stage.boot(late, { ...restartSettings, seeds: ["10.9.9.9:1"] });
  stage.wait(3000);
  expect(late.status?.state).toBe("empty");
  late.daemon?.setSeeds([stage.machineAt(0).peer]);
  stage.waitUntil(() => late.status?.state === "formed", 4000);
});
