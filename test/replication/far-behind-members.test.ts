import { expect, test } from "vitest";
import { StateMachine } from "../../src/state/state-machine.js";
import { type LogCommand, encodeLogCommand } from "../../src/state/log-command.js";
import type { DurableState } from "../../src/replication/log/durable-state.js";
import { LogStore } from "../../src/replication/log/log-store.js";
import { RandomDraw } from "../../src/simulation/random-draw.js";
import { configText, FleetStage, type StageMachine } from "./fleet-stage.js";

const isLed = (stage: FleetStage) => (): boolean =>
  stage.disks.some(({ daemon }) => daemon?.replicationNode?.holdsLease === true);

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
  const stage = new FleetStage(["d:a", "d:b", "d:c"], [0, 1, 2], { bootstrap: false });
  const voters = stage.disks.map(({ peer }) => peer);
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
  const [one, two, behind] = stage.disks;
  if (!one || !two || !behind) throw new Error("A machine is missing.");
  for (const machine of stage.disks)
    if (machine.disk)
      stage.start(new LogStore(machine.disk).writeSnapshot(machine === behind ? old : whole));
  stage.wait(500);
  const others = [one, two];
  return { stage, others, behind, totalBytes: Buffer.byteLength(whole.snapshot) };
};
type Staged = ReturnType<typeof stageWithOneBehind>;

const holdsAll = ({ behind }: Staged): boolean =>
  (behind.record?.committed ?? 0) >= fullest.lastIndex;
const receivedOf = (machine: StageMachine): number =>
  machine.daemon?.replicationNode?.receivedSnapshotBytes ?? 0;

/** Whether the one that was behind leads and takes changes with each of the others alone. */
const leadsInTurn = ({ stage, others, behind }: Staged, newest: number): void => {
  let sequence = newest;
  for (const lost of others) {
    stage.kill(lost);
    stage.until(isLed(stage), 8000);
    expect(stage.config(stage.leader, sequence)).toBe(configText(sequence));
    sequence += 1;
    expect(stage.commit(sequence)).toBe(true);
    stage.boot(lost);
    stage.until(() => lost.record?.committed === stage.leader.record?.committed, 30_000);
  }
  expect(behind.record?.state).toBe("formed");
};

test("the largest state machine reaches a member over a slow, lossy link that is cut again and again", () => {
  const staged = stageWithOneBehind();
  const { stage, others, behind, totalBytes } = staged;
  expect(totalBytes).toBeGreaterThan(18_000_000);
  stage.network.bytesPerMs = 1250;
  stage.network.conditions = { maxExtraLatencyMs: 30, maxExtraConnectMs: 0, lossFraction: 0.02 };
  stage.bootAll();
  stage.until(isLed(stage), 8000);
  let largest = 0;
  for (let round = 0; round < 4; round += 1) {
    stage.wait(1500);
    expect(receivedOf(behind)).toBeGreaterThan(largest);
    largest = receivedOf(behind);
    for (const other of others) stage.cut(other, behind);
    stage.wait(5000);
    for (const other of others) stage.cut(other, behind, true);
  }
  stage.until(() => holdsAll(staged), 60_000);
  stage.network.healAll();
  leadsInTurn(staged, 1);
}, 120_000);

test("a snapshot transfer continues after the member was restarted, and with another leader", () => {
  const staged = stageWithOneBehind();
  const { stage, behind } = staged;
  stage.network.bytesPerMs = 2500;
  stage.bootAll();
  stage.until(isLed(stage), 8000);
  stage.until(() => receivedOf(behind) > 4_000_000, 20_000);
  const before = receivedOf(behind);
  stage.kill(behind);
  stage.boot(behind);
  stage.until(() => receivedOf(behind) > 0, 3000);
  expect(receivedOf(behind)).toBeGreaterThan(before - 1_000_000);
  stage.until(() => receivedOf(behind) > 8_000_000, 20_000);
  const former = stage.leader;
  stage.kill(former);
  stage.boot(former);
  stage.until(isLed(stage), 8000);
  stage.until(() => holdsAll(staged), 60_000);
  leadsInTurn(staged, 1);
}, 120_000);

test("a member catches up during hundreds of changes, with snapshots written meanwhile", () => {
  const staged = stageWithOneBehind();
  const { stage, behind } = staged;
  stage.network.bytesPerMs = 2500;
  stage.bootAll();
  stage.until(isLed(stage), 8000);
  let newest = 1;
  while (newest < 400 || !holdsAll(staged)) {
    newest += 1;
    expect(stage.commit(newest)).toBe(true);
    if (newest > 4000) throw new Error("It never catches up.");
  }
  stage.until(() => behind.record?.committed === stage.leader.record?.committed, 5000);
  leadsInTurn(staged, newest);
}, 120_000);

test("300 changes while a member is away, then the others are lost in turn: it leads with the newest state only", () => {
  const stage = new FleetStage(["d:a", "d:b", "d:c"], [0, 1, 2]);
  stage.bootAll();
  stage.until(isLed(stage), 5000);
  expect(stage.commit(1)).toBe(true);
  const { leader } = stage;
  const away = stage.disks.find((machine) => machine !== leader);
  if (!away) throw new Error("A machine is missing.");
  stage.kill(away);
  for (let sequence = 2; sequence <= 330; sequence += 1) expect(stage.commit(sequence)).toBe(true);
  stage.boot(away, { bootstrap: false });
  const others = stage.disks.filter((machine) => machine !== away);
  stage.until(() => away.record?.committed === stage.leader.record?.committed, 5000);
  let newest = 330;
  for (const lost of others) {
    stage.kill(lost);
    stage.until(isLed(stage), 6000);
    expect(stage.config(stage.leader, newest)).toBe(configText(newest));
    newest += 1;
    expect(stage.commit(newest)).toBe(true);
    stage.boot(lost, { bootstrap: false });
    stage.until(() => lost.record?.committed === stage.leader.record?.committed, 5000);
  }
}, 120_000);
