import { expect, test } from "vitest";
import { configText, ClusterFixture, type FixtureMachine } from "../fleet-stage.js";

const hasLeader = (stage: ClusterFixture) => (): boolean =>
  stage.diskMachines.some(({ daemon }) => daemon?.replicationNode?.holdsLease === true);
const restartSettings = { bootstrap: false };
const catchUpMs = 4000;
const graceMs = 6000;

const createCluster = (disks: number, up: number): ClusterFixture => {
  const words = Array.from({ length: disks }, (_, at) => `d:${"abc"[at % 3] ?? "a"}`);
  const stage = new ClusterFixture(words, [0, 1, 2], { bounds: { catchUpMs, graceMs } });
  for (const machine of stage.diskMachines.slice(0, up)) stage.boot(machine);
  stage.waitUntil(hasLeader(stage), 5000);
  return stage;
};

const findFollowingVoter = (stage: ClusterFixture): FixtureMachine => {
  const { leader } = stage;
  const voters = leader.status?.voters ?? [];
  const other = stage.diskMachines.find(
    (machine) => machine.daemon && machine !== leader && voters.includes(machine.peer),
  );
  if (!other) throw new Error("There is no other voter.");
  return other;
};

/** Tells a machine to stop; the holder says whether its process has ended. */
const stopMachine = (stage: ClusterFixture, machine: FixtureMachine): { ended: boolean } => {
  const state = { ended: false };
  const { daemon } = machine;
  if (!daemon) throw new Error("It doesn't run.");
  stage.startTask(
    (function* () {
      yield* daemon.drain();
      state.ended = true;
    })(),
  );
  return state;
};

for (const role of ["a follower", "the leader"] as const)
  test(`${role} that stops is replaced by the ready learner before it ends`, () => {
    const stage = createCluster(4, 3);
    expect(stage.commitConfig(1)).toBe(true);
    const successor = stage.machineAt(3);
    stage.boot(successor, restartSettings);
    stage.wait(catchUpMs);
    const leaver = role === "the leader" ? stage.leader : findFollowingVoter(stage);
    const stopping = stopMachine(stage, leaver);
    stage.waitUntil(() => stopping.ended, graceMs);
    const voters = stage.leader.status?.voters ?? [];
    expect(voters).toHaveLength(3);
    expect(voters).toContain(successor.peer);
    expect(voters).not.toContain(leaver.peer);
    stage.kill(leaver, true);
    stage.kill(stage.leader, true);
    stage.waitUntil(hasLeader(stage), 2000);
    expect(stage.commitConfig(2)).toBe(true);
    expect(stage.readConfig(stage.leader, 1)).toBe(configText(1));
  });

test("a voter that stops ends only once a majority without it has what it acknowledged", () => {
  const stage = createCluster(3, 3);
  const { leader } = stage;
  const leaver = findFollowingVoter(stage);
  const [behind] = stage.diskMachines.filter((machine) => machine !== leader && machine !== leaver);
  if (!behind) throw new Error("There are too few members.");
  for (const other of [leader, leaver]) stage.partition(behind, other);
  expect(stage.commitConfig(1)).toBe(true);
  const stopping = stopMachine(stage, leaver);
  stage.wait(3500);
  expect(stopping.ended).toBe(false);
  for (const other of [leader, leaver]) stage.partition(behind, other, true);
  stage.waitUntil(() => stopping.ended, graceMs - 3500);
  expect(behind.status?.lastIndex).toBeGreaterThanOrEqual(leader.status?.committed ?? Infinity);
  stage.kill(leaver, true);
  stage.waitUntil(hasLeader(stage), 2000);
  expect(stage.commitConfig(2)).toBe(true);
});

test("a voter that stops while there is no leader ends within its grace period", () => {
  const stage = createCluster(3, 3);
  const [one, two, three] = stage.diskMachines;
  if (!one || !two || !three) throw new Error("There are too few members.");
  stage.kill(one);
  stage.kill(two);
  const stopping = stopMachine(stage, three);
  stage.waitUntil(() => stopping.ended, graceMs);
});

for (const [disks, what] of [
  [3, "without a learner"],
  [4, "with a learner that stands ready"],
] as const)
  test(`a rolling restart ${what} leaves enough voters at all times, and a leader at once`, () => {
    const stage = createCluster(disks, disks);
    stage.wait(2000);
    let sequence = 0;
    let leaderlessMs = 0;
    const wait = (forMs: number): void => {
      for (let at = 0; at < forMs; at += 20) {
        stage.wait(20);
        if (!hasLeader(stage)()) leaderlessMs += 20;
        else expect(stage.leader.status?.voters.length).toBeGreaterThanOrEqual(3);
      }
    };
    for (const machine of [...stage.diskMachines, ...stage.diskMachines]) {
      const stopping = stopMachine(stage, machine);
      while (!stopping.ended) wait(20);
      stage.kill(machine);
      wait(300);
      stage.boot(machine, restartSettings);
      wait(1300);
      sequence += 1;
      expect(stage.commitConfig(sequence)).toBe(true);
    }
    expect(leaderlessMs).toBeLessThan(1500);
    stage.wait(catchUpMs);
    stage.kill(findFollowingVoter(stage), true);
    stage.wait(100);
    expect(stage.commitConfig(sequence + 1)).toBe(true);
  });
