/** Members that lag behind the compacted log must catch up by a snapshot and then be able to replace lost members. */
import { expect, test } from "vitest";
import { StateMachine } from "../../src/state/state-machine.js";
import { type LogCommand, encodeLogCommand } from "../../src/state/log-command.js";
import type { DurableState } from "../../src/replication/log/durable-state.js";
import { LogStore } from "../../src/replication/log/log-store.js";
import { RandomDraw } from "../../src/simulation/random-draw.js";
import { configText, ClusterFixture, type FixtureMachine } from "./fleet-stage.js";

const hasLeader = (cluster: ClusterFixture) => (): boolean =>
  cluster.diskMachines.some(({ daemon }) => daemon?.replicationNode?.holdsLease === true);

/** Creates a state machine with the maximum number of keys and names that compress badly: 20 MB of text. */
const createLargestState = (): { stateMachine: StateMachine; lastIndex: number } => {
  const random = RandomDraw.of(21);
  const stateMachine = new StateMachine();
  let index = 0;
  const apply = (command: LogCommand): unknown =>
    stateMachine.apply((index += 1), encodeLogCommand(command));
  apply({
    kind: "config",
    expected: 0,
    changeId: "c1",
    acceptedAt: "",
    text: configText(1),
    services: [],
    routes: [],
  });
  const randomWord = (): string => random().toString(36).slice(2);
  for (let claim = 0; claim < 40_000; claim += 1) {
    const scope = String(claim).padStart(64, randomWord());
    const job = `${randomWord()}-${claim}`;
    const name = Array.from({ length: 22 }, randomWord).join("").slice(0, 230);
    apply({ kind: "claim", scope, bodyHash: "a".repeat(64), job, holders: [name] });
  }
  return { stateMachine, lastIndex: index };
};
const largest = createLargestState();

/** Creates three voters: the third has only the first entry, the others start with the largest state. */
const createClusterWithLaggingMember = () => {
  const cluster = new ClusterFixture(["d:a", "d:b", "d:c"], [0, 1, 2], { bootstrap: false });
  const voters = cluster.diskMachines.map(({ peer }) => peer);
  const members = { voters, learners: [] };
  const durableState = {
    fleet: "f",
    rejoinNonce: "",
    term: 1,
    votedFor: "",
    lastTerm: 1,
    entries: [],
  };
  const first = new StateMachine();
  first.configBacklog.restore([...largest.stateMachine.configBacklog.read()]);
  const largestState: DurableState = {
    ...durableState,
    lastIndex: largest.lastIndex,
    snapshot: largest.stateMachine.snapshot(members),
  };
  const laggingState: DurableState = {
    ...durableState,
    lastIndex: 1,
    snapshot: first.snapshot(members),
  };
  const [firstMember, secondMember, lagging] = cluster.diskMachines;
  if (!firstMember || !secondMember || !lagging) throw new Error("A machine is missing.");
  for (const machine of cluster.diskMachines)
    if (machine.disk)
      cluster.startTask(
        new LogStore(machine.disk).writeSnapshot(machine === lagging ? laggingState : largestState),
      );
  cluster.wait(500);
  const others = [firstMember, secondMember];
  return {
    cluster,
    others,
    lagging,
    totalBytes: Buffer.byteLength(largestState.snapshot),
  };
};
type LaggingMemberCase = ReturnType<typeof createClusterWithLaggingMember>;

const hasCaughtUp = ({ lagging }: LaggingMemberCase): boolean =>
  (lagging.status?.committed ?? 0) >= largest.lastIndex;
const receivedSnapshotBytes = (machine: FixtureMachine): number =>
  machine.daemon?.replicationNode?.receivedSnapshotBytes ?? 0;

/** Expects that the cluster keeps its state and commits changes after each of the other members alone is lost. */
const expectSurvivesEachLoss = (
  { cluster, others, lagging }: LaggingMemberCase,
  newest: number,
): void => {
  let sequence = newest;
  for (const lost of others) {
    cluster.kill(lost);
    cluster.waitUntil(hasLeader(cluster), 8000);
    expect(cluster.readConfig(cluster.leader, sequence)).toBe(configText(sequence));
    sequence += 1;
    expect(cluster.commitConfig(sequence)).toBe(true);
    cluster.boot(lost);
    cluster.waitUntil(() => lost.status?.committed === cluster.leader.status?.committed, 30_000);
  }
  expect(lagging.status?.state).toBe("formed");
};

test("the largest snapshot reaches a member over a slow, lossy link that is partitioned repeatedly", () => {
  const testCase = createClusterWithLaggingMember();
  const { cluster, others, lagging, totalBytes } = testCase;
  expect(totalBytes).toBeGreaterThan(18_000_000);
  cluster.network.bytesPerMs = 1250;
  cluster.network.conditions = { maxExtraLatencyMs: 30, maxExtraConnectMs: 0, lossFraction: 0.02 };
  cluster.bootAll();
  cluster.waitUntil(hasLeader(cluster), 8000);
  let maxReceivedBytes = 0;
  for (let round = 0; round < 4; round += 1) {
    cluster.wait(1500);
    expect(receivedSnapshotBytes(lagging)).toBeGreaterThan(maxReceivedBytes);
    maxReceivedBytes = receivedSnapshotBytes(lagging);
    for (const other of others) cluster.partition(other, lagging);
    cluster.wait(5000);
    for (const other of others) cluster.heal(other, lagging);
  }
  cluster.waitUntil(() => hasCaughtUp(testCase), 60_000);
  cluster.network.healAll();
  expectSurvivesEachLoss(testCase, 1);
}, 120_000);

test("a snapshot transfer continues after the member restarts, and under another leader", () => {
  const testCase = createClusterWithLaggingMember();
  const { cluster, lagging } = testCase;
  cluster.network.bytesPerMs = 2500;
  cluster.bootAll();
  cluster.waitUntil(hasLeader(cluster), 8000);
  cluster.waitUntil(() => receivedSnapshotBytes(lagging) > 4_000_000, 20_000);
  const receivedBefore = receivedSnapshotBytes(lagging);
  cluster.kill(lagging);
  cluster.boot(lagging);
  cluster.waitUntil(() => receivedSnapshotBytes(lagging) > 0, 3000);
  expect(receivedSnapshotBytes(lagging)).toBeGreaterThan(receivedBefore - 1_000_000);
  cluster.waitUntil(() => receivedSnapshotBytes(lagging) > 8_000_000, 20_000);
  const previousLeader = cluster.leader;
  cluster.kill(previousLeader);
  cluster.boot(previousLeader);
  cluster.waitUntil(hasLeader(cluster), 8000);
  cluster.waitUntil(() => hasCaughtUp(testCase), 60_000);
  expectSurvivesEachLoss(testCase, 1);
}, 120_000);

test("a member catches up during hundreds of changes, with snapshots written meanwhile", () => {
  const testCase = createClusterWithLaggingMember();
  const { cluster, lagging } = testCase;
  cluster.network.bytesPerMs = 2500;
  cluster.bootAll();
  cluster.waitUntil(hasLeader(cluster), 8000);
  let newest = 1;
  while (newest < 400 || !hasCaughtUp(testCase)) {
    newest += 1;
    expect(cluster.commitConfig(newest)).toBe(true);
    if (newest > 4000) throw new Error("The member has not caught up after 4000 changes.");
  }
  cluster.waitUntil(() => lagging.status?.committed === cluster.leader.status?.committed, 5000);
  expectSurvivesEachLoss(testCase, newest);
}, 120_000);

test("a member that missed 300 changes catches up before the others are lost in turn, and no committed change is lost", () => {
  const cluster = new ClusterFixture(["d:a", "d:b", "d:c"], [0, 1, 2]);
  cluster.bootAll();
  cluster.waitUntil(hasLeader(cluster), 5000);
  expect(cluster.commitConfig(1)).toBe(true);
  const { leader } = cluster;
  const stopped = cluster.diskMachines.find((machine) => machine !== leader);
  if (!stopped) throw new Error("A machine is missing.");
  cluster.kill(stopped);
  for (let sequence = 2; sequence <= 330; sequence += 1)
    expect(cluster.commitConfig(sequence)).toBe(true);
  cluster.boot(stopped, { bootstrap: false });
  const others = cluster.diskMachines.filter((machine) => machine !== stopped);
  cluster.waitUntil(() => stopped.status?.committed === cluster.leader.status?.committed, 5000);
  let newest = 330;
  for (const lost of others) {
    cluster.kill(lost);
    cluster.waitUntil(hasLeader(cluster), 6000);
    expect(cluster.readConfig(cluster.leader, newest)).toBe(configText(newest));
    newest += 1;
    expect(cluster.commitConfig(newest)).toBe(true);
    cluster.boot(lost, { bootstrap: false });
    cluster.waitUntil(() => lost.status?.committed === cluster.leader.status?.committed, 5000);
  }
}, 120_000);
