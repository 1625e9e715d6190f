import { expect, test } from "vitest";
import { StateMachine } from "../../src/state/state-machine.js";
import { type LogCommand, encodeLogCommand } from "../../src/state/log-command.js";
import type { DurableState } from "../../src/replication/log/durable-state.js";
import { LogStore } from "../../src/replication/log/log-store.js";
import { RandomDraw } from "../../src/simulation/random-draw.js";
import { configText, ClusterFixture, type FixtureMachine } from "./fleet-stage.js";

const isLed = (stage: ClusterFixture) => (): boolean =>
  stage.diskMachines.some(({ daemon }) => daemon?.replicationNode?.holdsLease === true);

/** The state machine with as many keys as are kept at most and names that deflate badly: 20 MB of text. */
const fullestBook = (): { stateMachine: StateMachine; lastIndex: number } => {
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
const fullest = fullestBook();

/** Three voters, of whom the third knows the first entry only; the others begin with the record at its fullest. */
const stageWithOneBehind = () => {
  const stage = new ClusterFixture(["d:a", "d:b", "d:c"], [0, 1, 2], { bootstrap: false });
  const voters = stage.diskMachines.map(({ peer }) => peer);
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
  first.configs = fullest.stateMachine.configs;
  const whole: DurableState = {
    ...durableState,
    lastIndex: fullest.lastIndex,
    snapshot: fullest.stateMachine.snapshot(members),
  };
  const old: DurableState = { ...durableState, lastIndex: 1, snapshot: first.snapshot(members) };
  const [one, two, behind] = stage.diskMachines;
  if (!one || !two || !behind) throw new Error("A machine is missing.");
  for (const machine of stage.diskMachines)
    if (machine.disk)
      stage.startTask(new LogStore(machine.disk).writeSnapshot(machine === behind ? old : whole));
  stage.wait(500);
  const others = [one, two];
  return { stage, others, behind, totalBytes: Buffer.byteLength(whole.snapshot) };
};
type Staged = ReturnType<typeof stageWithOneBehind>;

const holdsAll = ({ behind }: Staged): boolean =>
  (behind.status?.committed ?? 0) >= fullest.lastIndex;
const receivedOf = (machine: FixtureMachine): number =>
  machine.daemon?.replicationNode?.receivedSnapshotBytes ?? 0;

/** Whether the one that was behind leads and takes changes with each of the others alone. */
const leadsInTurn = ({ stage, others, behind }: Staged, newest: number): void => {
  let sequence = newest;
  for (const lost of others) {
    stage.kill(lost);
    stage.waitUntil(isLed(stage), 8000);
    expect(stage.readConfig(stage.leader, sequence)).toBe(configText(sequence));
    sequence += 1;
    expect(stage.commitConfig(sequence)).toBe(true);
    stage.boot(lost);
    stage.waitUntil(() => lost.status?.committed === stage.leader.status?.committed, 30_000);
  }
  expect(behind.status?.state).toBe("formed");
};

test("the largest state machine reaches a member over a slow, lossy link that is cut again and again", () => {
  const staged = stageWithOneBehind();
  const { stage, others, behind, totalBytes } = staged;
  expect(totalBytes).toBeGreaterThan(18_000_000);
  stage.network.bytesPerMs = 1250;
  stage.network.weather = { slowMs: 30, slowConnectMs: 0, lossPart: 0.02 };
  stage.bootAll();
  stage.waitUntil(isLed(stage), 8000);
  let largest = 0;
  for (let round = 0; round < 4; round += 1) {
    stage.wait(1500);
    expect(receivedOf(behind)).toBeGreaterThan(largest);
    largest = receivedOf(behind);
    for (const other of others) stage.partition(other, behind);
    stage.wait(5000);
    for (const other of others) stage.partition(other, behind, true);
  }
  stage.waitUntil(() => holdsAll(staged), 60_000);
  stage.network.heal();
  leadsInTurn(staged, 1);
}, 120_000);

test("a snapshot transfer continues after the member was restarted, and with another leader", () => {
  const staged = stageWithOneBehind();
  const { stage, behind } = staged;
  stage.network.bytesPerMs = 2500;
  stage.bootAll();
  stage.waitUntil(isLed(stage), 8000);
  stage.waitUntil(() => receivedOf(behind) > 4_000_000, 20_000);
  const before = receivedOf(behind);
  stage.kill(behind);
  stage.boot(behind);
  stage.waitUntil(() => receivedOf(behind) > 0, 3000);
  expect(receivedOf(behind)).toBeGreaterThan(before - 1_000_000);
  stage.waitUntil(() => receivedOf(behind) > 8_000_000, 20_000);
  const former = stage.leader;
  stage.kill(former);
  stage.boot(former);
  stage.waitUntil(isLed(stage), 8000);
  stage.waitUntil(() => holdsAll(staged), 60_000);
  leadsInTurn(staged, 1);
}, 120_000);

test("a member catches up during hundreds of changes, with snapshots written meanwhile", () => {
  const staged = stageWithOneBehind();
  const { stage, behind } = staged;
  stage.network.bytesPerMs = 2500;
  stage.bootAll();
  stage.waitUntil(isLed(stage), 8000);
  let newest = 1;
  while (newest < 400 || !holdsAll(staged)) {
    newest += 1;
    expect(stage.commitConfig(newest)).toBe(true);
    if (newest > 4000) throw new Error("It never catches up.");
  }
  stage.waitUntil(() => behind.status?.committed === stage.leader.status?.committed, 5000);
  leadsInTurn(staged, newest);
}, 120_000);

test("300 changes while a member is away, then the others are lost in turn: it leads with the newest state only", () => {
  const stage = new ClusterFixture(["d:a", "d:b", "d:c"], [0, 1, 2]);
  stage.bootAll();
  stage.waitUntil(isLed(stage), 5000);
  expect(stage.commitConfig(1)).toBe(true);
  const { leader } = stage;
  const away = stage.diskMachines.find((machine) => machine !== leader);
  if (!away) throw new Error("A machine is missing.");
  stage.kill(away);
  for (let sequence = 2; sequence <= 330; sequence += 1)
    expect(stage.commitConfig(sequence)).toBe(true);
  stage.boot(away, { bootstrap: false });
  const others = stage.diskMachines.filter((machine) => machine !== away);
  stage.waitUntil(() => away.status?.committed === stage.leader.status?.committed, 5000);
  let newest = 330;
  for (const lost of others) {
    stage.kill(lost);
    stage.waitUntil(isLed(stage), 6000);
    expect(stage.readConfig(stage.leader, newest)).toBe(configText(newest));
    newest += 1;
    expect(stage.commitConfig(newest)).toBe(true);
    stage.boot(lost, { bootstrap: false });
    stage.waitUntil(() => lost.status?.committed === stage.leader.status?.committed, 5000);
  }
}, 120_000);
