import { expect, test } from "vitest";
import { encodeLogCommand } from "../../src/state/log-command.js";
import { configText, ClusterFixture, type FixtureMachine } from "./fleet-stage.js";

const hasLeader = (stage: ClusterFixture) => (): boolean =>
  stage.diskMachines.some(({ daemon }) => daemon?.replicationNode?.holdsLease === true);
const restartSettings = { bootstrap: false };
const catchUpMs = 4000;
/** What a real process takes of `catchUpMs` for its own start, and a margin. */
const startMs = 1500;

const isVoter = (stage: ClusterFixture, machine: FixtureMachine): boolean =>
  hasLeader(stage)() && stage.leader.status?.voters.includes(machine.peer) === true;

/** A fleet with its first machines up and the rest empty, to be started as successors. */
const createCluster = (disks: number, up: number, machines: number): ClusterFixture => {
  const words = Array.from({ length: disks }, (_, at) => `d:${"abc"[at % 3] ?? "a"}`);
  const stage = new ClusterFixture(words, [0, 1, 2], {
    tolerate: { machines, zones: 0 },
    bounds: { catchUpMs },
  });
  for (const machine of stage.diskMachines.slice(0, up)) stage.boot(machine);
  stage.waitUntil(hasLeader(stage), 5000);
  return stage;
};

/** Starts an empty machine whose seeds are machines that are up. */
const bootSuccessor = (stage: ClusterFixture, machine: FixtureMachine): void => {
  const up = stage.diskMachines.filter(({ daemon }) => daemon !== undefined);
  stage.boot(machine, { ...restartSettings, seeds: up.slice(0, 3).map(({ peer }) => peer) });
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

for (const lostRole of ["a follower", "the leader"] as const)
  test(`three voters, replaced one after the other at the first moment allowed: ${lostRole} is lost each time`, () => {
    const stage = createCluster(7, 3, 1);
    for (let round = 1; round <= 4; round += 1) {
      expect(stage.commitConfig(round)).toBe(true);
      stage.kill(lostRole === "the leader" ? stage.leader : findFollowingVoter(stage), true);
      stage.wait(1000);
      const successor = stage.machineAt(2 + round);
      bootSuccessor(stage, successor);
      const tookMs = stage.waitUntil(() => isVoter(stage, successor), catchUpMs - startMs);
      stage.wait(catchUpMs - tookMs);
      expect(stage.leader.status?.voters).toHaveLength(3);
    }
    stage.kill(findFollowingVoter(stage), true);
    stage.waitUntil(hasLeader(stage), 2000);
    expect(stage.commitConfig(5)).toBe(true);
    for (const machine of stage.diskMachines.filter(({ daemon }) => daemon !== undefined))
      expect(stage.readConfig(machine, 1)).toBe(configText(1));
  });

test("two of five voters are replaced at once, and two more are lost at the first moment allowed", () => {
  const stage = createCluster(7, 5, 2);
  expect(stage.commitConfig(1)).toBe(true);
  const { leader } = stage;
  stage.kill(leader, true);
  stage.waitUntil(hasLeader(stage), 2000);
  stage.kill(findFollowingVoter(stage), true);
  stage.wait(1000);
  const successors = [stage.machineAt(5), stage.machineAt(6)];
  for (const successor of successors) bootSuccessor(stage, successor);
  const tookMs = stage.waitUntil(
    () => successors.every((successor) => isVoter(stage, successor)),
    catchUpMs - startMs,
  );
  stage.wait(catchUpMs - tookMs);
  stage.kill(findFollowingVoter(stage), true);
  stage.kill(stage.leader, true);
  stage.waitUntil(hasLeader(stage), 2000);
  expect(stage.commitConfig(2)).toBe(true);
  expect(stage.readConfig(stage.leader, 1)).toBe(configText(1));
});

test("a successor becomes a voter although the leader changes meanwhile", () => {
  const stage = createCluster(4, 3, 1);
  expect(stage.commitConfig(1)).toBe(true);
  stage.kill(findFollowingVoter(stage), true);
  stage.wait(1000);
  const successor = stage.machineAt(3);
  bootSuccessor(stage, successor);
  stage.wait(300);
  const { daemon } = stage.leader;
  if (daemon?.replicationNode) stage.startTask(daemon.replicationNode.yieldLeadership());
  stage.waitUntil(() => isVoter(stage, successor), catchUpMs - startMs);
  expect(stage.leader.status?.voters).toHaveLength(3);
});

test("the loss of the successor during the replacement leaves the others a majority", () => {
  const stage = createCluster(4, 3, 1);
  expect(stage.commitConfig(1)).toBe(true);
  stage.kill(findFollowingVoter(stage), true);
  const successor = stage.machineAt(3);
  bootSuccessor(stage, successor);
  stage.waitUntil(() => stage.leader.status?.voters.length !== 3, 4000);
  stage.kill(successor, true);
  stage.wait(1000);
  expect(hasLeader(stage)()).toBe(true);
  expect(stage.commitConfig(2)).toBe(true);
});

test("a voter that returns after it was replaced becomes a learner, and a voter again", () => {
  const stage = createCluster(4, 4, 1);
  stage.waitUntil(() => stage.leader.status?.learners.length === 1, 2000);
  const back = findFollowingVoter(stage);
  stage.kill(back);
  stage.waitUntil(() => stage.leader.status?.learners.includes(back.peer) === true, catchUpMs);
  expect(stage.commitConfig(1)).toBe(true);
  stage.boot(back, restartSettings);
  stage.wait(1000);
  stage.kill(findFollowingVoter(stage), true);
  stage.waitUntil(() => isVoter(stage, back), catchUpMs);
  expect(stage.commitConfig(2)).toBe(true);
});

test("a learner that is lost for good is removed, and joins again if it returns after all", () => {
  const stage = createCluster(4, 4, 1);
  stage.waitUntil(() => stage.leader.status?.learners.length === 1, 2000);
  const [learner] = stage.diskMachines.filter(({ peer }) =>
    stage.leader.status?.learners.includes(peer),
  );
  if (!learner) throw new Error("There is no learner.");
  stage.kill(learner);
  stage.waitUntil(() => stage.leader.status?.learners.length === 0, 16 * catchUpMs);
  stage.boot(learner, restartSettings);
  stage.waitUntil(() => stage.leader.status?.learners.includes(learner.peer) === true, catchUpMs);
});

test("a successor that receives a snapshot counts as soon as one that receives the log", () => {
  for (const beforeMs of [0, 10, 30]) {
    const stage = createCluster(4, 3, 1);
    const { daemon } = stage.leader;
    const text = encodeLogCommand({ kind: "note", text: "n".repeat(3000) });
    const outcomes: unknown[] = [];
    for (let count = 0; count < 2500; count += 1)
      stage.startTask(
        (function* () {
          outcomes.push(yield* daemon?.replicationNode?.propose(text) ?? []);
        })(),
      );
    stage.waitUntil(() => outcomes.length === 2500, 10_000);
    stage.wait(beforeMs);
    stage.kill(findFollowingVoter(stage), true);
    const successor = stage.machineAt(3);
    bootSuccessor(stage, successor);
    stage.waitUntil(() => successor.status?.state === "formed", 700);
    stage.waitUntil(() => isVoter(stage, successor), catchUpMs - startMs);
  }
});

test("a voter returns right after another lost its disk, during its own replacement by a responsive learner", () => {
  for (let afterMs = 940; afterMs <= 1160; afterMs += 10) {
    const stage = createCluster(4, 4, 1);
    stage.wait(catchUpMs + 1000);
    expect(stage.commitConfig(1)).toBe(true);
    const { leader } = stage;
    const away = findFollowingVoter(stage);
    const others = stage.diskMachines.filter((machine) => machine !== away);
    const before = leader.status?.voters.join();
    for (const other of others) stage.partition(away, other);
    stage.wait(afterMs);
    const wiped = others.find(
      (machine) => machine !== leader && before?.includes(machine.peer) === true,
    );
    if (!wiped) throw new Error("There is no third voter.");
    stage.kill(wiped, true);
    for (const other of others) stage.partition(away, other, true);
    stage.wait(500);
    bootSuccessor(stage, wiped);
    stage.wait(2000);
    stage.waitUntil(hasLeader(stage), 4000);
    expect(stage.commitConfig(2)).toBe(true);
  }
});
