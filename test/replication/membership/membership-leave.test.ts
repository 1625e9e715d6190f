/** Members that stop: the log must keep a majority that has all acknowledged entries. */
import { expect, test } from "vitest";
import { configText, ClusterFixture, type FixtureMachine } from "../fleet-stage.js";

const hasLeader = (cluster: ClusterFixture) => (): boolean =>
  cluster.diskMachines.some(({ daemon }) => daemon?.replicationNode?.holdsLease === true);
const restartSettings = { bootstrap: false };
const catchUpMs = 4000;
const graceMs = 6000;

const createCluster = (diskCount: number, bootedCount: number): ClusterFixture => {
  const machineSpecs = Array.from({ length: diskCount }, (_, at) => `d:${"abc"[at % 3] ?? "a"}`);
  const cluster = new ClusterFixture(machineSpecs, [0, 1, 2], { bounds: { catchUpMs, graceMs } });
  for (const machine of cluster.diskMachines.slice(0, bootedCount)) cluster.boot(machine);
  cluster.waitUntil(hasLeader(cluster), 5000);
  return cluster;
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

/** Drains a machine's daemon; the returned object's `ended` is set once the daemon has ended. */
const stopMachine = (cluster: ClusterFixture, machine: FixtureMachine): { ended: boolean } => {
  const state = { ended: false };
  const { daemon } = machine;
  if (!daemon) throw new Error(`${machine.settings.machine} has no running daemon.`);
  cluster.startTask(
    (function* () {
      yield* daemon.drain();
      state.ended = true;
    })(),
  );
  return state;
};

for (const role of ["a follower", "the leader"] as const)
  test(`${role} that stops is replaced by a ready learner before its process ends`, () => {
    const cluster = createCluster(4, 3);
    expect(cluster.commitConfig(1)).toBe(true);
    const successor = cluster.machineAt(3);
    cluster.boot(successor, restartSettings);
    cluster.wait(catchUpMs);
    const stoppingMachine = role === "the leader" ? cluster.leader : findFollowingVoter(cluster);
    const stopping = stopMachine(cluster, stoppingMachine);
    cluster.waitUntil(() => stopping.ended, graceMs);
    const voters = cluster.leader.status?.voters ?? [];
    expect(voters).toHaveLength(3);
    expect(voters).toContain(successor.peer);
    expect(voters).not.toContain(stoppingMachine.peer);
    cluster.kill(stoppingMachine, true);
    cluster.kill(cluster.leader, true);
    cluster.waitUntil(hasLeader(cluster), 2000);
    expect(cluster.commitConfig(2)).toBe(true);
    expect(cluster.readConfig(cluster.leader, 1)).toBe(configText(1));
  });

test("a stopping voter ends only once a majority without it has the entries that it acknowledged", () => {
  const cluster = createCluster(3, 3);
  const { leader } = cluster;
  const stoppingMachine = findFollowingVoter(cluster);
  const [lagging] = cluster.diskMachines.filter(
    (machine) => machine !== leader && machine !== stoppingMachine,
  );
  if (!lagging) throw new Error("There are too few members.");
  for (const other of [leader, stoppingMachine]) cluster.partition(lagging, other);
  expect(cluster.commitConfig(1)).toBe(true);
  const stopping = stopMachine(cluster, stoppingMachine);
  cluster.wait(3500);
  expect(stopping.ended).toBe(false);
  for (const other of [leader, stoppingMachine]) cluster.heal(lagging, other);
  cluster.waitUntil(() => stopping.ended, graceMs - 3500);
  expect(lagging.status?.lastIndex).toBeGreaterThanOrEqual(leader.status?.committed ?? Infinity);
  cluster.kill(stoppingMachine, true);
  cluster.waitUntil(hasLeader(cluster), 2000);
  expect(cluster.commitConfig(2)).toBe(true);
});

test("a voter that stops without a leader ends within its grace period", () => {
  const cluster = createCluster(3, 3);
  const [firstMember, secondMember, stoppingMember] = cluster.diskMachines;
  if (!firstMember || !secondMember || !stoppingMember)
    throw new Error("There are too few members.");
  cluster.kill(firstMember);
  cluster.kill(secondMember);
  const stopping = stopMachine(cluster, stoppingMember);
  cluster.waitUntil(() => stopping.ended, graceMs);
});

for (const [diskCount, description] of [
  [3, "without a learner"],
  [4, "with a ready learner"],
] as const)
  test(`a rolling restart ${description} always leaves enough voters, and is without a leader only briefly`, () => {
    const cluster = createCluster(diskCount, diskCount);
    cluster.wait(2000);
    let sequence = 0;
    let leaderlessMs = 0;
    const wait = (durationMs: number): void => {
      for (let at = 0; at < durationMs; at += 20) {
        cluster.wait(20);
        if (!hasLeader(cluster)()) leaderlessMs += 20;
        else expect(cluster.leader.status?.voters.length).toBeGreaterThanOrEqual(3);
      }
    };
    for (const machine of [...cluster.diskMachines, ...cluster.diskMachines]) {
      const stopping = stopMachine(cluster, machine);
      while (!stopping.ended) wait(20);
      cluster.kill(machine);
      wait(300);
      cluster.boot(machine, restartSettings);
      wait(1300);
      sequence += 1;
      expect(cluster.commitConfig(sequence)).toBe(true);
    }
    expect(leaderlessMs).toBeLessThan(1500);
    cluster.wait(catchUpMs);
    cluster.kill(findFollowingVoter(cluster), true);
    cluster.wait(100);
    expect(cluster.commitConfig(sequence + 1)).toBe(true);
  });
