import { expect, test } from "vitest";
import { checkConfig } from "../../src/configuration/config-validation.js";
import type { AcceptedConfig } from "../../src/state/accepted-config.js";
import { StateMachine } from "../../src/state/state-machine.js";
import { encodeLogCommand } from "../../src/state/log-command.js";
import { encodeCompleteConfig } from "../../src/replication/history/history-format.js";
import type { DurableState } from "../../src/replication/log/durable-state.js";
import { LogStore } from "../../src/replication/log/log-store.js";
import { ClusterFixture, type FixtureMachine } from "./fleet-stage.js";
import { LargeConfig } from "./large-config.js";

const diskMb = 64;
const hasLeader = (stage: ClusterFixture) => (): boolean =>
  stage.diskMachines.some(({ daemon }) => daemon?.replicationNode?.holdsLease === true);

/** Has the leader accept configs one after another, and keeps their texts. */
class ConfigChanges {
  readonly texts: string[] = [];
  private readonly stage: ClusterFixture;
  private readonly config: LargeConfig;
  private readonly fromSequence: number;

  constructor(stage: ClusterFixture, config: LargeConfig, fromSequence = 1) {
    this.stage = stage;
    this.config = config;
    this.fromSequence = fromSequence;
  }

  get newestSequence(): number {
    return this.fromSequence + this.texts.length - 1;
  }

  /** One change; tells how it ended within five seconds. */
  proposeNext(): string {
    const replicationNode = this.stage.leader.daemon?.replicationNode;
    if (!replicationNode) return "no leader";
    const text = this.config.next();
    const command = encodeLogCommand({
      kind: "config",
      expected: this.newestSequence,
      changeId: `c${this.newestSequence + 1}`,
      acceptedAt: "2026-01-01T00:00:00.000Z",
      text,
      services: [],
      routes: [],
    });
    const outcomes: string[] = [];
    this.stage.startTask(
      (function* () {
        const proposed = yield* replicationNode.propose(command);
        outcomes.push(proposed.kind === "committed" ? proposed.outcome : proposed.kind);
      })(),
    );
    this.stage.waitUntil(() => outcomes.length > 0, 5000);
    const [outcome = ""] = outcomes;
    if (outcome.includes("accepted")) this.texts.push(text);
    return outcome;
  }
}

/** How a read of a version ends at a machine. */
const readConfigAt = (stage: ClusterFixture, machine: FixtureMachine, sequence: number): string => {
  const { replicationNode } = machine.daemon ?? {};
  const reads: string[] = [];
  if (!replicationNode) return "no node";
  stage.startTask(
    (function* () {
      const read = yield* replicationNode.readConfig(sequence);
      reads.push(read.kind === "found" ? read.config.text : read.kind);
    })(),
  );
  stage.waitUntil(() => reads.length > 0, 10_000);
  return reads[0] ?? "";
};

/** How the operators' port of a machine answers for a version. */
const requestVersionAt = (
  stage: ClusterFixture,
  machine: FixtureMachine,
  version: number,
): number => {
  const codes: number[] = [];
  machine.daemon?.adminRequests.emit({
    clientRequest: {
      method: "GET",
      target: `/config/${version}`,
      headers: {},
      body: new Uint8Array(),
    },
    respond: ({ code }) => codes.push(code),
  });
  stage.waitUntil(() => codes.length > 0, 10_000);
  return codes[0] ?? 0;
};

const limitDisks = (stage: ClusterFixture): void => {
  for (const { disk } of stage.diskMachines) if (disk) disk.capacityBytes = diskMb * 1_000_000;
};

test("a large config is one that a gateway accepts", () => {
  const text = new LargeConfig(50).next();
  expect(checkConfig(JSON.parse(text))).not.toHaveProperty("faults");
});

test("1,000 changes of a configuration with 2,500 routes fit on a disk of 64 MB, before and after a restart", () => {
  const stage = new ClusterFixture(["d:a"], [0], {
    tolerate: { machines: 0, zones: 0 },
    limits: { diskMb },
  });
  limitDisks(stage);
  const machine = stage.machineAt(0);
  stage.bootAll();
  stage.waitUntil(hasLeader(stage), 5000);
  const changes = new ConfigChanges(stage, new LargeConfig(2500));
  for (let round = 0; round < 1000; round += 1) expect(changes.proposeNext()).toContain("accepted");
  stage.kill(machine);
  stage.boot(machine, { bootstrap: false });
  stage.waitUntil(hasLeader(stage), 10_000);
  for (const sequence of [1, 2, 64, 65, 700, 999, 1000])
    expect(readConfigAt(stage, machine, sequence) === changes.texts[sequence - 1]).toBe(true);
  expect(stage.logLines.filter((line) => line.includes("disk full"))).toEqual([]);
  expect(machine.disk?.usedBytes ?? Infinity).toBeLessThan(diskMb * 1_000_000);
}, 300_000);

test("the history removes its oldest configs once its quota is used up, and reports them as removed", () => {
  const stage = new ClusterFixture(["d:a", "d:b", "d:c"], [0, 1, 2], { limits: { diskMb: 1 } });
  stage.bootAll();
  stage.waitUntil(hasLeader(stage), 5000);
  const config = new LargeConfig(120);
  const changes = new ConfigChanges(stage, config);
  let accepted = 0;
  while (accepted < 1400) accepted += changes.proposeNext().includes("accepted") ? 1 : 0;
  stage.wait(5000);
  const { leader } = stage;
  expect(stage.logLines.some((line) => line.includes("history quota exceeded"))).toBe(true);
  for (const machine of stage.diskMachines) {
    expect(readConfigAt(stage, machine, 1)).toBe("removed");
    expect(readConfigAt(stage, machine, 1400) === changes.texts[1399]).toBe(true);
    expect(readConfigAt(stage, machine, 1200) === changes.texts[1199]).toBe(true);
    expect(
      [1, 1200, 1400, 1401].map((version) => requestVersionAt(stage, machine, version)),
    ).toEqual([410, 200, 200, 404]);
  }
  for (const machine of stage.diskMachines) stage.kill(machine);
  for (const machine of stage.diskMachines) stage.boot(machine, { bootstrap: false });
  stage.waitUntil(hasLeader(stage), 6000);
  stage.wait(3000);
  expect(readConfigAt(stage, leader, 1)).toBe("removed");
  expect(readConfigAt(stage, leader, 1400) === changes.texts[1399]).toBe(true);
}, 300_000);

test("a disk that is full for a while delays changes only as long, and no old config is lost with the newest file", () => {
  const stage = new ClusterFixture(["d:a", "d:b", "d:c"], [0, 1, 2], { limits: { diskMb } });
  stage.bootAll();
  stage.waitUntil(hasLeader(stage), 5000);
  const changes = new ConfigChanges(stage, new LargeConfig(600));
  const acceptUntil = (count: number): void => {
    for (let tries = 0; changes.texts.length < count; tries += 1) {
      if (tries > count + 40) throw new Error("Too many changes were refused.");
      if (!hasLeader(stage)()) stage.waitUntil(hasLeader(stage), 6000);
      changes.proposeNext();
    }
  };
  acceptUntil(300);
  const [first, second] = stage.diskMachines;
  for (const machine of [first, second]) {
    if (!machine?.disk) throw new Error("A disk is missing.");
    machine.disk.isFull = true;
    stage.wait(4000);
    machine.disk.isFull = false;
    stage.wait(2000);
    acceptUntil(changes.texts.length + 150);
  }
  for (const { disk } of stage.diskMachines) if (disk) disk.isFull = true;
  stage.wait(3000);
  for (const { disk } of stage.diskMachines) if (disk) disk.isFull = false;
  stage.waitUntil(hasLeader(stage), 6000);
  acceptUntil(700);
  for (const machine of stage.diskMachines) stage.kill(machine);
  for (const machine of stage.diskMachines) stage.boot(machine, { bootstrap: false });
  stage.waitUntil(hasLeader(stage), 6000);
  for (const machine of stage.diskMachines)
    for (const sequence of [690, 700])
      expect(readConfigAt(stage, machine, sequence) === changes.texts[sequence - 1]).toBe(true);
  for (const { disk } of stage.diskMachines)
    expect(disk?.usedBytes).toBeLessThan(diskMb * 1_000_000);
}, 300_000);

/** A member's disk as a former build left it: full of whole configs, 64 a file. */
const writeLegacyDisk = (
  stage: ClusterFixture,
  machine: FixtureMachine,
  config: LargeConfig,
): number => {
  const { disk, peer } = machine;
  if (!disk) throw new Error("The disk is missing.");
  const accepted = (sequence: number, text: string): AcceptedConfig => ({
    sequence,
    index: sequence,
    changeId: `c${sequence}`,
    acceptedAt: "2026-01-01T00:00:00.000Z",
    text,
  });
  const files = 14;
  for (let file = 0; file < files; file += 1) {
    const text = config.next();
    const records = Array.from({ length: 64 }, (_, at) =>
      encodeCompleteConfig(accepted(file * 64 + at + 1, text)),
    );
    disk.poke(`history-${file}`, Buffer.concat(records));
  }
  const newest = files * 64 + 1;
  const stateMachine = new StateMachine();
  stateMachine.configs = [accepted(newest, config.next())];
  stateMachine.recentConfigs = stateMachine.configs.map(({ sequence, changeId, acceptedAt }) => ({
    sequence,
    changeId,
    acceptedAt,
  }));
  const durableState: DurableState = {
    fleet: "f",
    rejoinNonce: "",
    term: 1,
    votedFor: "",
    lastIndex: newest,
    lastTerm: 1,
    snapshot: stateMachine.snapshot({ voters: [peer], learners: [] }),
    entries: [],
  };
  stage.startTask(new LogStore(disk).writeSnapshot(durableState));
  stage.wait(200);
  return newest;
};

for (const [what, limitMb] of [
  ["and no more than its share is kept", diskMb],
  [
    "also where nothing says how large the disk is: the history gives up room when it is full",
    1000,
  ],
] as const)
  test(`changes continue on a disk that a former build filled, ${what}`, () => {
    const stage = new ClusterFixture(["d:a"], [0], {
      tolerate: { machines: 0, zones: 0 },
      limits: { diskMb: limitMb },
      bootstrap: false,
    });
    const machine = stage.machineAt(0);
    const config = new LargeConfig(2500);
    const newest = writeLegacyDisk(stage, machine, config);
    if (!machine.disk) throw new Error("The disk is missing.");
    expect(machine.disk.usedBytes).toBeGreaterThan(50_000_000);
    machine.disk.capacityBytes = machine.disk.usedBytes + 400_000;
    stage.bootAll();
    stage.waitUntil(hasLeader(stage), 5000);
    const changes = new ConfigChanges(stage, config, newest + 1);
    while (changes.texts.length < 200) expect(changes.proposeNext()).toContain("accepted");
    expect(readConfigAt(stage, machine, changes.newestSequence) === changes.texts.at(-1)).toBe(
      true,
    );
    expect(readConfigAt(stage, machine, 1)).toBe("removed");
    expect(JSON.parse(readConfigAt(stage, machine, newest - 1))).toHaveProperty("routes");
    stage.kill(machine);
    stage.boot(machine);
    stage.waitUntil(hasLeader(stage), 5000);
    expect(readConfigAt(stage, machine, changes.newestSequence) === changes.texts.at(-1)).toBe(
      true,
    );
  }, 300_000);

test("a member that lost its disk counts before it has the history, and fetches it afterwards", () => {
  const stage = new ClusterFixture(["d:a", "d:b", "d:c"], [0, 1, 2], { limits: { diskMb } });
  stage.bootAll();
  stage.waitUntil(hasLeader(stage), 5000);
  const changes = new ConfigChanges(stage, new LargeConfig(400));
  while (changes.texts.length < 900) expect(changes.proposeNext()).toContain("accepted");
  const { leader } = stage;
  const [emptied, other] = stage.diskMachines.filter((machine) => machine !== leader);
  if (!emptied || !other) throw new Error("A member is missing.");
  stage.kill(emptied, true);
  stage.boot(emptied, { bootstrap: false });
  stage.waitUntil(() => emptied.status?.state === "formed", 4000);
  stage.kill(other);
  expect(changes.proposeNext()).toContain("accepted");
  stage.boot(other, { bootstrap: false });
  stage.wait(60_000);
  for (const machine of stage.diskMachines.filter((machine) => machine !== emptied))
    stage.kill(machine);
  for (const sequence of [1, 64, 65, 500, 900, 901])
    expect(readConfigAt(stage, emptied, sequence) === changes.texts[sequence - 1]).toBe(true);
}, 300_000);
