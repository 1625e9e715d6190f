import { expect, test } from "vitest";
import { configText, ClusterFixture } from "../fleet-stage.js";

const hasLeader = (stage: ClusterFixture) => (): boolean =>
  stage.diskMachines.some(({ daemon }) => daemon?.replicationNode?.holdsLease === true);
const fleetIds = (stage: ClusterFixture): string[] => [
  ...new Set(stage.diskMachines.map((machine) => stage.fleetIdOf(machine))),
];
const joinZones = (stage: ClusterFixture, peers: readonly string[] = []): string =>
  peers
    .map((peer) => stage.machines.find((one) => one.peer === peer)?.settings.zone ?? "?")
    .sort()
    .join("");

/** When the first recorder of a fleet has formed; the same stage does the same at the same moment. */
const measureFirstFormation = (stage: ClusterFixture): number => {
  stage.bootAll();
  return stage.waitUntil(
    () => stage.diskMachines.some((machine) => stage.fleetIdOf(machine) !== ""),
    3000,
  );
};

/** What the settings say at a machine's restart once the fleet has started: nothing is to be formed any more. */
const restartSettings = { bootstrap: false };

test("a first seed without a disk has the log formed: three voters of four, the fourth a learner", () => {
  const stage = new ClusterFixture(["e:a", "e:b", "e:c", "d:a", "d:b", "d:c", "d:d"], [0, 1, 2], {
    tolerate: { machines: 1, zones: 0 },
  });
  stage.bootAll();
  expect(stage.waitUntil(hasLeader(stage), 5000)).toBeLessThan(3000);
  stage.wait(1000);
  const record = stage.leader.status;
  expect([
    record?.voters.length,
    joinZones(stage, record?.voters),
    joinZones(stage, record?.learners),
  ]).toEqual([3, "abc", "d"]);
  expect(fleetIds(stage)).toHaveLength(1);
  expect(stage.diskMachines.map((machine) => machine.status?.state)).toEqual([
    "formed",
    "formed",
    "formed",
    "formed",
  ]);
  expect(stage.machines.map(({ daemon }) => daemon?.servingState.isGranted)).toEqual(
    stage.machines.map(() => true),
  );
});

test("five voters of six in three zones, where two losses are tolerated", () => {
  const stage = new ClusterFixture(
    ["d:a", "e:b", "e:c", "d:a", "d:b", "d:b", "d:c", "d:c"],
    [1, 0, 2],
    { tolerate: { machines: 2, zones: 0 } },
  );
  stage.bootAll();
  stage.waitUntil(hasLeader(stage), 5000);
  stage.wait(1000);
  const record = stage.leader.status;
  expect([joinZones(stage, record?.voters), joinZones(stage, record?.learners)]).toEqual([
    "aabbc",
    "c",
  ]);
  expect(fleetIds(stage)).toHaveLength(1);
});

test("no log is formed while there are too few nodes, or in too few zones; then it is", () => {
  for (const [tolerate, early, last] of [
    [{ machines: 1, zones: 0 }, ["d:a", "d:b"], "d:b"],
    [{ machines: 1, zones: 1 }, ["d:a", "d:b", "d:b"], "d:c"],
  ] as const) {
    const stage = new ClusterFixture(["e:a", ...early, last], [0, 1], { tolerate });
    for (const machine of stage.machines.slice(0, -1)) stage.boot(machine);
    stage.wait(8000);
    expect(fleetIds(stage)).toEqual([""]);
    expect(
      stage.logLines.some((line) => line.includes("waiting for candidates to form the log")),
    ).toBe(true);
    stage.bootAll();
    stage.waitUntil(hasLeader(stage), 5000);
    expect(stage.leader.status?.voters).toHaveLength(3);
  }
});

test("empty nodes never form a log where the fleet doesn't start for the first time", () => {
  const stage = new ClusterFixture(["e:a", "d:a", "d:b", "d:c"], [0, 1, 2], restartSettings);
  stage.bootAll();
  stage.wait(20_000);
  expect(fleetIds(stage)).toEqual([""]);
  expect(stage.diskMachines.map((machine) => machine.status?.state)).toEqual([
    "empty",
    "empty",
    "empty",
  ]);
});

test("a node that may not bootstrap takes no part where others do", () => {
  const stage = new ClusterFixture(["e:a", "d:a", "d:b", "d:c"], [0, 1, 2]);
  for (const machine of stage.machines)
    stage.boot(machine, machine === stage.machineAt(3) ? restartSettings : {});
  stage.wait(10_000);
  expect(fleetIds(stage)).toEqual([""]);
});

test("an initiator killed during the formation: none campaigns before all have formed, and another completes it", () => {
  const build = (): ClusterFixture =>
    new ClusterFixture(["e:a", "e:b", "d:a", "d:b", "d:c", "d:d"], [0, 1]);
  const formsMs = measureFirstFormation(build());
  let midway = 0;
  for (let cutMs = formsMs - 8; cutMs < formsMs + 4; cutMs += 0.25) {
    const stage = build();
    stage.bootAll();
    stage.wait(cutMs);
    const missed = stage.machineAt(4);
    const others = stage.machines.filter((machine) => machine !== missed);
    for (const machine of others) stage.partition(missed, machine);
    stage.waitUntil(() => others.some((machine) => stage.fleetIdOf(machine) !== ""), 3000);
    const chosen =
      others
        .map((machine) => machine.daemon?.replicationNode?.bootstrapStatus.voters ?? [])
        .find((voters) => voters.length > 0) ?? [];
    if (!chosen.includes(missed.peer) || stage.fleetIdOf(missed) !== "") continue;
    stage.kill(stage.machineAt(0));
    stage.wait(4000);
    if (stage.fleetIdOf(missed) !== "") continue;
    midway += 1;
    expect(stage.diskMachines.map((machine) => machine.status?.term)).toEqual([0, 0, 0, 0]);
    const formed = others
      .map((machine) => stage.fleetIdOf(machine))
      .filter((fleet) => fleet !== "");
    for (const machine of others) stage.partition(missed, machine, true);
    for (const machine of stage.machines)
      machine.daemon?.setSeeds([stage.machineAt(1).peer, stage.machineAt(0).peer]);
    stage.waitUntil(hasLeader(stage), 8000);
    stage.wait(3000);
    expect(fleetIds(stage)).toEqual([...new Set(formed)]);
    expect(stage.leader.status?.voters).toEqual(chosen);
  }
  expect(midway).toBeGreaterThan(2);
});

test("all killed during the formation, at any moment: it is completed", () => {
  const build = (): ClusterFixture =>
    new ClusterFixture(["e:a", "d:a", "d:b", "d:c", "d:d"], [0, 1, 2]);
  const formsMs = measureFirstFormation(build());
  for (let killMs = formsMs - 6; killMs < formsMs + 10; killMs += 1) {
    const stage = build();
    stage.bootAll();
    stage.wait(killMs);
    const before = fleetIds(stage).filter((fleet) => fleet !== "");
    for (const machine of stage.machines) stage.kill(machine);
    stage.bootAll();
    stage.waitUntil(hasLeader(stage), 8000);
    stage.wait(3000);
    expect(fleetIds(stage)).toHaveLength(1);
    if (before[0] !== undefined) expect(fleetIds(stage)).toEqual(before);
  }
});

test("an initiator that restarts and finds only empty nodes forms no second log that lasts", () => {
  const stage = new ClusterFixture(["e:a", "d:a", "d:b", "d:c", "d:d"], [0, 1]);
  stage.bootAll();
  stage.waitUntil(
    () => stage.diskMachines.some((machine) => stage.fleetIdOf(machine) !== ""),
    3000,
  );
  const [first] = stage.diskMachines.filter((machine) => stage.fleetIdOf(machine) !== "");
  if (!first) throw new Error("None has formed.");
  for (const machine of stage.machines) stage.kill(machine);
  for (const machine of stage.diskMachines) if (machine !== first) machine.disk?.wipe();
  for (const machine of stage.machines) if (machine !== first) stage.boot(machine);
  stage.waitUntil(hasLeader(stage), 10_000);
  stage.boot(first);
  stage.wait(6000);
  expect(fleetIds(stage)).toHaveLength(1);
  expect(stage.diskMachines.map((machine) => machine.status?.state)).toEqual([
    "formed",
    "formed",
    "formed",
    "formed",
  ]);
});

test("a formed fleet restarts from its nodes' disks, also while no seed is up", () => {
  const stage = new ClusterFixture(["e:a", "d:a", "d:b", "d:c", "e:b"], [0]);
  stage.bootAll();
  stage.waitUntil(hasLeader(stage), 5000);
  expect(stage.commitConfig(1)).toBe(true);
  for (const machine of stage.machines) stage.kill(machine);
  for (const machine of stage.diskMachines) stage.boot(machine, restartSettings);
  expect(stage.waitUntil(hasLeader(stage), 5000)).toBeLessThan(3000);
});

test("a voter that lost its disk isn't formed again beside one that doesn't know yet that all had formed", () => {
  const stage = new ClusterFixture(["e:a", "d:a", "d:b", "d:c"], [0]);
  stage.bootAll();
  const [founder, emptied, kept, late] = [0, 1, 2, 3].map((at) => stage.machineAt(at));
  if (!founder || !emptied || !kept || !late) throw new Error("There are too few machines.");
  stage.waitUntil(() => late.status?.state === "unborn", 3000);
  const files = ["slot-a", "slot-b", "log-1"]
    .map((name) => [name, late.disk?.peek(name) ?? Buffer.alloc(0)] as const)
    .filter(([name, bytes]) => bytes.length > 0 || name === "log-1");
  stage.waitUntil(hasLeader(stage), 5000);
  stage.kill(late, true);
  for (const [name, bytes] of files) late.disk?.poke(name, bytes);
  stage.waitUntil(hasLeader(stage), 5000);
  expect(stage.commitConfig(1)).toBe(true);
  const fleet = stage.fleetIdOf(kept);
  for (const machine of [founder, emptied, late]) stage.partition(kept, machine);
  stage.kill(founder);
  stage.kill(emptied, true);
  stage.bootAll();
  stage.waitUntil(() => late.status?.state === "unborn", 1000);
  stage.wait(8000);
  expect([emptied, late].map((machine) => [machine.status?.state, machine.status?.term])).toEqual([
    ["empty", 0],
    ["unborn", 0],
  ]);
  for (const machine of [founder, emptied, late]) stage.partition(kept, machine, true);
  stage.waitUntil(hasLeader(stage), 8000);
  stage.waitUntil(() => emptied.status?.state === "formed", 5000);
  expect(fleetIds(stage)).toEqual([fleet]);
  stage.kill(kept);
  stage.waitUntil(hasLeader(stage), 5000);
  expect(stage.readConfig(stage.leader, 1)).toBe(configText(1));
});

test("a voter partitioned during the formation: none campaigns without it, and it forms only where the fleet starts for the first time", () => {
  const build = (): ClusterFixture => new ClusterFixture(["e:a", "d:a", "d:b", "d:c"], [0]);
  const formsMs = measureFirstFormation(build());
  let midway = 0;
  for (let cutMs = formsMs - 8; cutMs < formsMs + 4; cutMs += 0.1) {
    const stage = build();
    stage.bootAll();
    stage.wait(cutMs);
    const missed = stage.machineAt(3);
    const others = stage.machines.filter((machine) => machine !== missed);
    for (const machine of others) stage.partition(missed, machine);
    stage.wait(3000);
    const formed = others.filter((machine) => stage.fleetIdOf(machine) !== "");
    if (stage.fleetIdOf(missed) !== "" || formed.length === 0) continue;
    midway += 1;
    const terms = (): number[] => stage.diskMachines.map((machine) => machine.status?.term ?? -1);
    expect(terms()).toEqual([0, 0, 0]);
    stage.kill(missed);
    for (const machine of others) stage.partition(missed, machine, true);
    stage.boot(missed, restartSettings);
    stage.wait(5000);
    expect([missed.status?.state, ...terms()]).toEqual(["empty", 0, 0, 0]);
    stage.kill(missed);
    stage.boot(missed, { bootstrap: true });
    stage.waitUntil(hasLeader(stage), 5000);
    expect(fleetIds(stage)).toEqual(formed.slice(0, 1).map((machine) => stage.fleetIdOf(machine)));
  }
  expect(midway).toBeGreaterThan(2);
});
