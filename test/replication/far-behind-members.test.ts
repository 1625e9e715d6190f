import { expect, test } from "vitest";
import { StateMachine } from "../../src/state/state-machine.js";
import { type LogCommand, encodeLogCommand } from "../../src/state/log-command.js";
import type { DurableState } from "../../src/replication/log/durable-state.js";
import { LogStore } from "../../src/replication/log/log-store.js";
import { RandomDraw } from "../../src/simulation/random-draw.js";
import { configText, ClusterFixture, type FixtureMachine } from "./fleet-stage.js";

const hasLeader = (cluster: ClusterFixture) => (): boolean =>
  cluster.diskMachines.some(({ daemon }) => daemon?.replicationNode?.holdsLease === true);

/** The state machine with as many keys as are kept at most and names that deflate badly: 20 MB of text. */
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
  const word = (): string => random().toString(36).slice(2);
  for (let at = 0; at < 40_000; at += 1) {
    const scope = String(at).padStart(64, word());
    const job = `${word()}-${at}`;
    const name = Array.from({ length: 22 }, word).join("").slice(0, 230);
    apply({ kind: "claim", scope, bodyHash: "a".repeat(64), job, holders: [name] });
  }
  return { stateMachine, lastIndex: index };
};
const largest = createLargestState();

/** Three voters, of whom the third knows the first entry only; the others begin with the record at its fullest. */
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
  first.configs = largest.stateMachine.configs;
  const whole: DurableState = {
    ...durableState,
    lastIndex: largest.lastIndex,
    snapshot: largest.stateMachine.snapshot(members),
  };
  const old: DurableState = { ...durableState, lastIndex: 1, snapshot: first.snapshot(members) };
  const [one, two, lagging] = cluster.diskMachines;
  if (!one || !two || !lagging) throw new Error("A machine is missing.");
  for (const machine of cluster.diskMachines)
    if (machine.disk)
      cluster.startTask(
        new LogStore(machine.disk).writeSnapshot(machine === lagging ? old : whole),
      );
  cluster.wait(500);
  const others = [one, two];
  return { stage: cluster, others, behind: lagging, totalBytes: Buffer.byteLength(whole.snapshot) };
};
type LaggingMemberCase = ReturnType<typeof createClusterWithLaggingMember>;

const hasCaughtUp = ({ behind: lagging }: LaggingMemberCase): boolean =>
  (lagging.status?.committed ?? 0) >= largest.lastIndex;
const receivedSnapshotBytes = (machine: FixtureMachine): number =>
  machine.daemon?.replicationNode?.receivedSnapshotBytes ?? 0;

/** Whether the one that was behind leads and takes changes with each of the others alone. */
const expectLeadsWithEachOther = (
  { stage: cluster, others, behind: lagging }: LaggingMemberCase,
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

test("the largest state machine reaches a member over a slow, lossy link that is cut again and again", () => {
  const staged = createClusterWithLaggingMember();
  const { stage: cluster, others, behind: lagging, totalBytes } = staged;
  expect(totalBytes).toBeGreaterThan(18_000_000);
  cluster.network.bytesPerMs = 1250;
  cluster.network.conditions = { maxExtraLatencyMs: 30, maxExtraConnectMs: 0, lossFraction: 0.02 };
  cluster.bootAll();
  cluster.waitUntil(hasLeader(cluster), 8000);
  let largest = 0;
  for (let round = 0; round < 4; round += 1) {
    cluster.wait(1500);
    expect(receivedSnapshotBytes(lagging)).toBeGreaterThan(largest);
    largest = receivedSnapshotBytes(lagging);
    for (const other of others) cluster.partition(other, lagging);
    cluster.wait(5000);
    for (const other of others) cluster.partition(other, lagging, true);
  }
  cluster.waitUntil(() => hasCaughtUp(staged), 60_000);
  cluster.network.healAll();
  expectLeadsWithEachOther(staged, 1);
}, 120_000);

test("a snapshot transfer continues after the member was restarted, and with another leader", () => {
  const staged = createClusterWithLaggingMember();
  const { stage: cluster, behind: lagging } = staged;
  cluster.network.bytesPerMs = 2500;
  cluster.bootAll();
  cluster.waitUntil(hasLeader(cluster), 8000);
  cluster.waitUntil(() => receivedSnapshotBytes(lagging) > 4_000_000, 20_000);
  const before = receivedSnapshotBytes(lagging);
  cluster.kill(lagging);
  cluster.boot(lagging);
  cluster.waitUntil(() => receivedSnapshotBytes(lagging) > 0, 3000);
  expect(receivedSnapshotBytes(lagging)).toBeGreaterThan(before - 1_000_000);
  cluster.waitUntil(() => receivedSnapshotBytes(lagging) > 8_000_000, 20_000);
  const former = cluster.leader;
  cluster.kill(former);
  cluster.boot(former);
  cluster.waitUntil(hasLeader(cluster), 8000);
  cluster.waitUntil(() => hasCaughtUp(staged), 60_000);
  expectLeadsWithEachOther(staged, 1);
}, 120_000);

test("a member catches up during hundreds of changes, with snapshots written meanwhile", () => {
  const staged = createClusterWithLaggingMember();
  const { stage: cluster, behind: lagging } = staged;
  cluster.network.bytesPerMs = 2500;
  cluster.bootAll();
  cluster.waitUntil(hasLeader(cluster), 8000);
  let newest = 1;
  while (newest < 400 || !hasCaughtUp(staged)) {
    newest += 1;
    expect(cluster.commitConfig(newest)).toBe(true);
    if (newest > 4000) throw new Error("It never catches up.");
  }
  cluster.waitUntil(() => lagging.status?.committed === cluster.leader.status?.committed, 5000);
  expectLeadsWithEachOther(staged, newest);
}, 120_000);

test("300 changes while a member is away, then the others are lost in turn: it leads with the newest state only", () => {
  const cluster = new ClusterFixture(["d:a", "d:b", "d:c"], [0, 1, 2]);
  cluster.bootAll();
  cluster.waitUntil(hasLeader(cluster), 5000);
  expect(cluster.commitConfig(1)).toBe(true);
  const { leader } = cluster;
  const away = cluster.diskMachines.find((machine) => machine !== leader);
  if (!away) throw new Error("A machine is missing.");
  cluster.kill(away);
  for (let sequence = 2; sequence <= 330; sequence += 1)
    expect(cluster.commitConfig(sequence)).toBe(true);
  cluster.boot(away, { bootstrap: false });
  const others = cluster.diskMachines.filter((machine) => machine !== away);
  cluster.waitUntil(() => away.status?.committed === cluster.leader.status?.committed, 5000);
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
