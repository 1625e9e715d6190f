/** The replacement of lost voters by learners, with the next loss as soon as the log must tolerate it. */
import { expect, test } from "vitest";
import { encodeLogCommand } from "../../src/state/log-command.js";
import { configText, ClusterFixture, type FixtureMachine } from "./fleet-stage.js";

const hasLeader = (cluster: ClusterFixture) => (): boolean =>
  cluster.diskMachines.some(({ daemon }) => daemon?.replicationNode?.holdsLease === true);
const restartSettings = { bootstrap: false };
const catchUpMs = 4000;
/** The part of `catchUpMs` that a real process needs for its start, with a margin. */
const startMs = 1500;

const isVoter = (cluster: ClusterFixture, machine: FixtureMachine): boolean =>
  hasLeader(cluster)() && cluster.leader.status?.voters.includes(machine.peer) === true;

/** Creates a cluster whose first machines run; the others are empty and can be booted as successors. */
const createCluster = (
  diskCount: number,
  bootedCount: number,
  machines: number,
): ClusterFixture => {
  const machineSpecs = Array.from({ length: diskCount }, (_, at) => `d:${"abc"[at % 3] ?? "a"}`);
  const cluster = new ClusterFixture(machineSpecs, [0, 1, 2], {
    tolerate: { machines, zones: 0 },
    bounds: { catchUpMs },
  });
  for (const machine of cluster.diskMachines.slice(0, bootedCount)) cluster.boot(machine);
  cluster.waitUntil(hasLeader(cluster), 5000);
  return cluster;
};

/** Boots an empty machine, with running machines as its seeds. */
const bootSuccessor = (cluster: ClusterFixture, machine: FixtureMachine): void => {
  const bootedMachines = cluster.diskMachines.filter(({ daemon }) => daemon !== undefined);
  cluster.boot(machine, {
    ...restartSettings,
    seeds: bootedMachines.slice(0, 3).map(({ peer }) => peer),
  });
};

const findFollowingVoter = (cluster: ClusterFixture): FixtureMachine => {
  const { leader } = cluster;
  const voters = leader.status?.voters ?? [];
  const other = cluster.diskMachines.find(
    (machine) => machine.daemon && machine !== leader && voters.includes(machine.peer),
  );
  if (!other) throw new Error("No voter other than the leader is running.");
  return other;
};

for (const lostRole of ["a follower", "the leader"] as const)
  test(`three voters are replaced one after the other, each ${lostRole}, lost as soon as the previous one is replaced`, () => {
    const cluster = createCluster(7, 3, 1);
    for (let round = 1; round <= 4; round += 1) {
      expect(cluster.commitConfig(round)).toBe(true);
      cluster.kill(lostRole === "the leader" ? cluster.leader : findFollowingVoter(cluster), true);
      cluster.wait(1000);
      const successor = cluster.machineAt(2 + round);
      bootSuccessor(cluster, successor);
      const tookMs = cluster.waitUntil(() => isVoter(cluster, successor), catchUpMs - startMs);
      cluster.wait(catchUpMs - tookMs);
      expect(cluster.leader.status?.voters).toHaveLength(3);
    }
    cluster.kill(findFollowingVoter(cluster), true);
    cluster.waitUntil(hasLeader(cluster), 2000);
    expect(cluster.commitConfig(5)).toBe(true);
    for (const machine of cluster.diskMachines.filter(({ daemon }) => daemon !== undefined))
      expect(cluster.readConfig(machine, 1)).toBe(configText(1));
  });

test("two of five voters are replaced at the same time, and two more are lost as soon as that is allowed", () => {
  const cluster = createCluster(7, 5, 2);
  expect(cluster.commitConfig(1)).toBe(true);
  const { leader } = cluster;
  cluster.kill(leader, true);
  cluster.waitUntil(hasLeader(cluster), 2000);
  cluster.kill(findFollowingVoter(cluster), true);
  cluster.wait(1000);
  const successors = [cluster.machineAt(5), cluster.machineAt(6)];
  for (const successor of successors) bootSuccessor(cluster, successor);
  const tookMs = cluster.waitUntil(
    () => successors.every((successor) => isVoter(cluster, successor)),
    catchUpMs - startMs,
  );
  cluster.wait(catchUpMs - tookMs);
  cluster.kill(findFollowingVoter(cluster), true);
  cluster.kill(cluster.leader, true);
  cluster.waitUntil(hasLeader(cluster), 2000);
  expect(cluster.commitConfig(2)).toBe(true);
  expect(cluster.readConfig(cluster.leader, 1)).toBe(configText(1));
});

test("a successor becomes a voter even if the leader changes meanwhile", () => {
  const cluster = createCluster(4, 3, 1);
  expect(cluster.commitConfig(1)).toBe(true);
  cluster.kill(findFollowingVoter(cluster), true);
  cluster.wait(1000);
  const successor = cluster.machineAt(3);
  bootSuccessor(cluster, successor);
  cluster.wait(300);
  const { daemon } = cluster.leader;
  if (daemon?.replicationNode) cluster.startTask(daemon.replicationNode.yieldLeadership());
  cluster.waitUntil(() => isVoter(cluster, successor), catchUpMs - startMs);
  expect(cluster.leader.status?.voters).toHaveLength(3);
});

test("the loss of the successor during the replacement leaves the other voters a majority", () => {
  const cluster = createCluster(4, 3, 1);
  expect(cluster.commitConfig(1)).toBe(true);
  cluster.kill(findFollowingVoter(cluster), true);
  const successor = cluster.machineAt(3);
  bootSuccessor(cluster, successor);
  cluster.waitUntil(() => cluster.leader.status?.voters.length !== 3, 4000);
  cluster.kill(successor, true);
  cluster.wait(1000);
  expect(hasLeader(cluster)()).toBe(true);
  expect(cluster.commitConfig(2)).toBe(true);
});

test("a voter that returns after it was replaced becomes a learner, and a voter again", () => {
  const cluster = createCluster(4, 4, 1);
  cluster.waitUntil(() => cluster.leader.status?.learners.length === 1, 2000);
  const returning = findFollowingVoter(cluster);
  cluster.kill(returning);
  cluster.waitUntil(
    () => cluster.leader.status?.learners.includes(returning.peer) === true,
    catchUpMs,
  );
  expect(cluster.commitConfig(1)).toBe(true);
  cluster.boot(returning, restartSettings);
  cluster.wait(1000);
  cluster.kill(findFollowingVoter(cluster), true);
  cluster.waitUntil(() => isVoter(cluster, returning), catchUpMs);
  expect(cluster.commitConfig(2)).toBe(true);
});

test("a learner that is lost for long is removed, and joins again if it returns", () => {
  const cluster = createCluster(4, 4, 1);
  cluster.waitUntil(() => cluster.leader.status?.learners.length === 1, 2000);
  const [learner] = cluster.diskMachines.filter(({ peer }) =>
    cluster.leader.status?.learners.includes(peer),
  );
  if (!learner) throw new Error("There is no learner.");
  cluster.kill(learner);
  cluster.waitUntil(() => cluster.leader.status?.learners.length === 0, 16 * catchUpMs);
  cluster.boot(learner, restartSettings);
  cluster.waitUntil(
    () => cluster.leader.status?.learners.includes(learner.peer) === true,
    catchUpMs,
  );
});

// Guards against a successor that waits for its membership entry although an installed snapshot already includes it. The
// 2500 notes exceed the retained log, so that the successor receives a snapshot.
test("a successor that receives a snapshot becomes a voter as soon as one that receives the log", () => {
  for (const beforeMs of [0, 10, 30]) {
    const cluster = createCluster(4, 3, 1);
    const { daemon } = cluster.leader;
    const text = encodeLogCommand({ kind: "note", text: "n".repeat(3000) });
    const outcomes: unknown[] = [];
    for (let count = 0; count < 2500; count += 1)
      cluster.startTask(
        (function* () {
          outcomes.push(yield* daemon?.replicationNode?.propose(text) ?? []);
        })(),
      );
    cluster.waitUntil(() => outcomes.length === 2500, 10_000);
    cluster.wait(beforeMs);
    cluster.kill(findFollowingVoter(cluster), true);
    const successor = cluster.machineAt(3);
    bootSuccessor(cluster, successor);
    cluster.waitUntil(() => successor.status?.state === "formed", 700);
    cluster.waitUntil(() => isVoter(cluster, successor), catchUpMs - startMs);
  }
});

// Guards against voters that stay without a responsive majority: the partitioned voter returns at successive times around
// `replaceAfterMs`, while a learner is promoted in its place and another voter has just lost its disk.
test("the cluster recovers when a voter returns during its replacement, immediately after another voter lost its disk", () => {
  for (let afterMs = 940; afterMs <= 1160; afterMs += 10) {
    const cluster = createCluster(4, 4, 1);
    cluster.wait(catchUpMs + 1000);
    expect(cluster.commitConfig(1)).toBe(true);
    const { leader } = cluster;
    const partitioned = findFollowingVoter(cluster);
    const others = cluster.diskMachines.filter((machine) => machine !== partitioned);
    const votersBefore = leader.status?.voters.join();
    for (const other of others) cluster.partition(partitioned, other);
    cluster.wait(afterMs);
    const emptied = others.find(
      (machine) => machine !== leader && votersBefore?.includes(machine.peer) === true,
    );
    if (!emptied) throw new Error("There is no third voter.");
    cluster.kill(emptied, true);
    for (const other of others) cluster.heal(partitioned, other);
    cluster.wait(500);
    bootSuccessor(cluster, emptied);
    cluster.wait(2000);
    cluster.waitUntil(hasLeader(cluster), 4000);
    expect(cluster.commitConfig(2)).toBe(true);
  }
});
