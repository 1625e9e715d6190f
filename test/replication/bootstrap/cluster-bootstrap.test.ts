/** Bootstrap of the replicated log: a fleet must form exactly one log, whatever is killed or partitioned meanwhile. */
import { expect, test } from "vitest";
import { configText, ClusterFixture } from "../fleet-stage.js";

const hasLeader = (cluster: ClusterFixture) => (): boolean =>
  cluster.diskMachines.some(({ daemon }) => daemon?.replicationNode?.holdsLease === true);
const fleetIds = (cluster: ClusterFixture): string[] => [
  ...new Set(cluster.diskMachines.map((machine) => cluster.fleetIdOf(machine))),
];
const joinZones = (cluster: ClusterFixture, peers: readonly string[] = []): string =>
  peers
    .map(
      (peer) => cluster.machines.find((candidate) => candidate.peer === peer)?.settings.zone ?? "?",
    )
    .sort()
    .join("");

/** Measures when the first member has formed the log, in ms; clusters with the same machines behave identically. */
const measureFirstFormation = (cluster: ClusterFixture): number => {
  cluster.bootAll();
  return cluster.waitUntil(
    () => cluster.diskMachines.some((machine) => cluster.fleetIdOf(machine) !== ""),
    3000,
  );
};

/** Settings of a machine that starts after the fleet's first start: it must not form a log. */
const restartSettings = { bootstrap: false };

test("a first seed without a disk initiates the log: three of four nodes are voters, the fourth is a learner", () => {
  const cluster = new ClusterFixture(["e:a", "e:b", "e:c", "d:a", "d:b", "d:c", "d:d"], [0, 1, 2], {
    tolerate: { machines: 1, zones: 0 },
  });
  cluster.bootAll();
  expect(cluster.waitUntil(hasLeader(cluster), 5000)).toBeLessThan(3000);
  cluster.wait(1000);
  const status = cluster.leader.status;
  expect([
    status?.voters.length,
    joinZones(cluster, status?.voters),
    joinZones(cluster, status?.learners),
  ]).toEqual([3, "abc", "d"]);
  expect(fleetIds(cluster)).toHaveLength(1);
  expect(cluster.diskMachines.map((machine) => machine.status?.state)).toEqual([
    "formed",
    "formed",
    "formed",
    "formed",
  ]);
  expect(cluster.machines.map(({ daemon }) => daemon?.servingState.isGranted)).toEqual(
    cluster.machines.map(() => true),
  );
});

test("a log that tolerates two losses has five of six nodes in three zones as voters", () => {
  const cluster = new ClusterFixture(
    ["d:a", "e:b", "e:c", "d:a", "d:b", "d:b", "d:c", "d:c"],
    [1, 0, 2],
    { tolerate: { machines: 2, zones: 0 } },
  );
  cluster.bootAll();
  cluster.waitUntil(hasLeader(cluster), 5000);
  cluster.wait(1000);
  const status = cluster.leader.status;
  expect([joinZones(cluster, status?.voters), joinZones(cluster, status?.learners)]).toEqual([
    "aabbc",
    "c",
  ]);
  expect(fleetIds(cluster)).toHaveLength(1);
});

test("no log is formed until there are enough nodes in enough zones", () => {
  for (const [tolerate, earlyMachines, lastMachine] of [
    [{ machines: 1, zones: 0 }, ["d:a", "d:b"], "d:b"],
    [{ machines: 1, zones: 1 }, ["d:a", "d:b", "d:b"], "d:c"],
  ] as const) {
    const cluster = new ClusterFixture(["e:a", ...earlyMachines, lastMachine], [0, 1], {
      tolerate,
    });
    for (const machine of cluster.machines.slice(0, -1)) cluster.boot(machine);
    cluster.wait(8000);
    expect(fleetIds(cluster)).toEqual([""]);
    expect(
      cluster.logLines.some((line) => line.includes("waiting for candidates to form the log")),
    ).toBe(true);
    cluster.bootAll();
    cluster.waitUntil(hasLeader(cluster), 5000);
    expect(cluster.leader.status?.voters).toHaveLength(3);
  }
});

test("empty nodes never form a log unless the fleet starts for the first time", () => {
  const cluster = new ClusterFixture(["e:a", "d:a", "d:b", "d:c"], [0, 1, 2], restartSettings);
  cluster.bootAll();
  cluster.wait(20_000);
  expect(fleetIds(cluster)).toEqual([""]);
  expect(cluster.diskMachines.map((machine) => machine.status?.state)).toEqual([
    "empty",
    "empty",
    "empty",
  ]);
});

test("a node that may not bootstrap isn't a candidate for the log that others form", () => {
  const cluster = new ClusterFixture(["e:a", "d:a", "d:b", "d:c"], [0, 1, 2]);
  for (const machine of cluster.machines)
    cluster.boot(machine, machine === cluster.machineAt(3) ? restartSettings : {});
  cluster.wait(10_000);
  expect(fleetIds(cluster)).toEqual([""]);
});

// Guards against an election before all voters have formed the log. One voter is partitioned at successive times around the
// first formation; only the cases in which it was chosen and didn't form the log are checked.
test("if the initiator is killed during the formation, no node campaigns until all have formed the log, and another seed completes it", () => {
  const createCluster = (): ClusterFixture =>
    new ClusterFixture(["e:a", "e:b", "d:a", "d:b", "d:c", "d:d"], [0, 1]);
  const firstFormationMs = measureFirstFormation(createCluster());
  let interruptedFormations = 0;
  for (
    let partitionMs = firstFormationMs - 8;
    partitionMs < firstFormationMs + 4;
    partitionMs += 0.25
  ) {
    const cluster = createCluster();
    cluster.bootAll();
    cluster.wait(partitionMs);
    const partitioned = cluster.machineAt(4);
    const reachable = cluster.machines.filter((machine) => machine !== partitioned);
    for (const machine of reachable) cluster.partition(partitioned, machine);
    cluster.waitUntil(() => reachable.some((machine) => cluster.fleetIdOf(machine) !== ""), 3000);
    const chosenVoters =
      reachable
        .map((machine) => machine.daemon?.replicationNode?.bootstrapStatus.voters ?? [])
        .find((voters) => voters.length > 0) ?? [];
    if (!chosenVoters.includes(partitioned.peer) || cluster.fleetIdOf(partitioned) !== "") continue;
    cluster.kill(cluster.machineAt(0));
    cluster.wait(4000);
    if (cluster.fleetIdOf(partitioned) !== "") continue;
    interruptedFormations += 1;
    expect(cluster.diskMachines.map((machine) => machine.status?.term)).toEqual([0, 0, 0, 0]);
    const formed = reachable
      .map((machine) => cluster.fleetIdOf(machine))
      .filter((fleet) => fleet !== "");
    for (const machine of reachable) cluster.heal(partitioned, machine);
    for (const machine of cluster.machines)
      machine.daemon?.setSeeds([cluster.machineAt(1).peer, cluster.machineAt(0).peer]);
    cluster.waitUntil(hasLeader(cluster), 8000);
    cluster.wait(3000);
    expect(fleetIds(cluster)).toEqual([...new Set(formed)]);
    expect(cluster.leader.status?.voters).toEqual(chosenVoters);
  }
  expect(interruptedFormations).toBeGreaterThan(2);
});

test("the formation is completed after all nodes are killed at any time during it", () => {
  const createCluster = (): ClusterFixture =>
    new ClusterFixture(["e:a", "d:a", "d:b", "d:c", "d:d"], [0, 1, 2]);
  const firstFormationMs = measureFirstFormation(createCluster());
  for (let killMs = firstFormationMs - 6; killMs < firstFormationMs + 10; killMs += 1) {
    const cluster = createCluster();
    cluster.bootAll();
    cluster.wait(killMs);
    const fleetsBeforeKill = fleetIds(cluster).filter((fleet) => fleet !== "");
    for (const machine of cluster.machines) cluster.kill(machine);
    cluster.bootAll();
    cluster.waitUntil(hasLeader(cluster), 8000);
    cluster.wait(3000);
    expect(fleetIds(cluster)).toHaveLength(1);
    if (fleetsBeforeKill[0] !== undefined) expect(fleetIds(cluster)).toEqual(fleetsBeforeKill);
  }
});

test("after an initiator restarts among empty nodes, only one log remains", () => {
  const cluster = new ClusterFixture(["e:a", "d:a", "d:b", "d:c", "d:d"], [0, 1]);
  cluster.bootAll();
  cluster.waitUntil(
    () => cluster.diskMachines.some((machine) => cluster.fleetIdOf(machine) !== ""),
    3000,
  );
  const [formedMachine] = cluster.diskMachines.filter(
    (machine) => cluster.fleetIdOf(machine) !== "",
  );
  if (!formedMachine) throw new Error("No node has formed the log.");
  for (const machine of cluster.machines) cluster.kill(machine);
  for (const machine of cluster.diskMachines) if (machine !== formedMachine) machine.disk?.wipe();
  for (const machine of cluster.machines) if (machine !== formedMachine) cluster.boot(machine);
  cluster.waitUntil(hasLeader(cluster), 10_000);
  cluster.boot(formedMachine);
  cluster.wait(6000);
  expect(fleetIds(cluster)).toHaveLength(1);
  expect(cluster.diskMachines.map((machine) => machine.status?.state)).toEqual([
    "formed",
    "formed",
    "formed",
    "formed",
  ]);
});

test("a formed fleet restarts from its nodes' disks, even while no seed is up", () => {
  const cluster = new ClusterFixture(["e:a", "d:a", "d:b", "d:c", "e:b"], [0]);
  cluster.bootAll();
  cluster.waitUntil(hasLeader(cluster), 5000);
  expect(cluster.commitConfig(1)).toBe(true);
  for (const machine of cluster.machines) cluster.kill(machine);
  for (const machine of cluster.diskMachines) cluster.boot(machine, restartSettings);
  expect(cluster.waitUntil(hasLeader(cluster), 5000)).toBeLessThan(3000);
});

// Guards against the loss of acknowledged entries: with an emptied voter formed again beside one whose disk dates from
// before the log was opened, two voters without the committed entry would be a majority.
test("a voter that lost its disk doesn't form the log again with a voter that doesn't know yet that all had formed it", () => {
  const cluster = new ClusterFixture(["e:a", "d:a", "d:b", "d:c"], [0]);
  cluster.bootAll();
  const [initiator, emptied, opened, unopened] = [0, 1, 2, 3].map((at) => cluster.machineAt(at));
  if (!initiator || !emptied || !opened || !unopened)
    throw new Error("There are too few machines.");
  cluster.waitUntil(() => unopened.status?.state === "unborn", 3000);
  const files = ["slot-a", "slot-b", "log-1"]
    .map((name) => [name, unopened.disk?.peek(name) ?? Buffer.alloc(0)] as const)
    .filter(([name, bytes]) => bytes.length > 0 || name === "log-1");
  cluster.waitUntil(hasLeader(cluster), 5000);
  cluster.kill(unopened, true);
  for (const [name, bytes] of files) unopened.disk?.poke(name, bytes);
  cluster.waitUntil(hasLeader(cluster), 5000);
  expect(cluster.commitConfig(1)).toBe(true);
  const fleet = cluster.fleetIdOf(opened);
  for (const machine of [initiator, emptied, unopened]) cluster.partition(opened, machine);
  cluster.kill(initiator);
  cluster.kill(emptied, true);
  cluster.bootAll();
  cluster.waitUntil(() => unopened.status?.state === "unborn", 1000);
  cluster.wait(8000);
  expect(
    [emptied, unopened].map((machine) => [machine.status?.state, machine.status?.term]),
  ).toEqual([
    ["empty", 0],
    ["unborn", 0],
  ]);
  for (const machine of [initiator, emptied, unopened]) cluster.heal(opened, machine);
  cluster.waitUntil(hasLeader(cluster), 8000);
  cluster.waitUntil(() => emptied.status?.state === "formed", 5000);
  expect(fleetIds(cluster)).toEqual([fleet]);
  cluster.kill(opened);
  cluster.waitUntil(hasLeader(cluster), 5000);
  expect(cluster.readConfig(cluster.leader, 1)).toBe(configText(1));
});

// Guards against an election before all voters have formed the log. One voter is partitioned at successive times around the
// first formation and later restarts, first without and then with `bootstrap`.
test("no node campaigns while a voter is partitioned during the formation, and the voter forms the log only with `bootstrap` set", () => {
  const createCluster = (): ClusterFixture => new ClusterFixture(["e:a", "d:a", "d:b", "d:c"], [0]);
  const firstFormationMs = measureFirstFormation(createCluster());
  let interruptedFormations = 0;
  for (
    let partitionMs = firstFormationMs - 8;
    partitionMs < firstFormationMs + 4;
    partitionMs += 0.1
  ) {
    const cluster = createCluster();
    cluster.bootAll();
    cluster.wait(partitionMs);
    const partitioned = cluster.machineAt(3);
    const reachable = cluster.machines.filter((machine) => machine !== partitioned);
    for (const machine of reachable) cluster.partition(partitioned, machine);
    cluster.wait(3000);
    const formed = reachable.filter((machine) => cluster.fleetIdOf(machine) !== "");
    if (cluster.fleetIdOf(partitioned) !== "" || formed.length === 0) continue;
    interruptedFormations += 1;
    const terms = (): number[] => cluster.diskMachines.map((machine) => machine.status?.term ?? -1);
    expect(terms()).toEqual([0, 0, 0]);
    cluster.kill(partitioned);
    for (const machine of reachable) cluster.heal(partitioned, machine);
    cluster.boot(partitioned, restartSettings);
    cluster.wait(5000);
    expect([partitioned.status?.state, ...terms()]).toEqual(["empty", 0, 0, 0]);
    cluster.kill(partitioned);
    cluster.boot(partitioned, { bootstrap: true });
    cluster.waitUntil(hasLeader(cluster), 5000);
    expect(fleetIds(cluster)).toEqual(
      formed.slice(0, 1).map((machine) => cluster.fleetIdOf(machine)),
    );
  }
  expect(interruptedFormations).toBeGreaterThan(2);
});
