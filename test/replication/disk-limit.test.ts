/** The disk usage of the config history: bounded by its quota, and reduced further when the disk is full. */
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
const hasLeader = (cluster: ClusterFixture) => (): boolean =>
  cluster.diskMachines.some(({ daemon }) => daemon?.replicationNode?.holdsLease === true);

/** Proposes successive configs to the leader and retains the texts of the accepted ones. */
class ConfigChanges {
  readonly texts: string[] = [];
  private readonly cluster: ClusterFixture;
  private readonly config: LargeConfig;
  private readonly fromSequence: number;

  constructor(cluster: ClusterFixture, config: LargeConfig, fromSequence = 1) {
    this.cluster = cluster;
    this.config = config;
    this.fromSequence = fromSequence;
  }

  get newestSequence(): number {
    return this.fromSequence + this.texts.length - 1;
  }

  /** Proposes the next config; returns the outcome, or the kind of result if it wasn't committed. */
  proposeNext(): string {
    const replicationNode = this.cluster.leader.daemon?.replicationNode;
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
    this.cluster.startTask(
      (function* () {
        const proposed = yield* replicationNode.propose(command);
        outcomes.push(proposed.kind === "committed" ? proposed.outcome : proposed.kind);
      })(),
    );
    this.cluster.waitUntil(() => outcomes.length > 0, 5000);
    const [outcome = ""] = outcomes;
    if (outcome.includes("accepted")) this.texts.push(text);
    return outcome;
  }
}

/** Reads a config at a machine; returns its text, or the kind of result if it isn't found. */
const readConfigAt = (
  cluster: ClusterFixture,
  machine: FixtureMachine,
  sequence: number,
): string => {
  const { replicationNode } = machine.daemon ?? {};
  const reads: string[] = [];
  if (!replicationNode) return "no node";
  cluster.startTask(
    (function* () {
      const read = yield* replicationNode.readConfig(sequence);
      reads.push(read.kind === "found" ? read.config.text : read.kind);
    })(),
  );
  cluster.waitUntil(() => reads.length > 0, 10_000);
  return reads[0] ?? "";
};

/** Requests a version from a machine's admin API; returns the response's status code. */
const requestVersionAt = (
  cluster: ClusterFixture,
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
  cluster.waitUntil(() => codes.length > 0, 10_000);
  return codes[0] ?? 0;
};

const limitDisks = (cluster: ClusterFixture): void => {
  for (const { disk } of cluster.diskMachines) if (disk) disk.capacityBytes = diskMb * 1_000_000;
};

test("the generated large config is valid", () => {
  const text = new LargeConfig(50).next();
  expect(checkConfig(JSON.parse(text))).not.toHaveProperty("faults");
});

test("1,000 changes of a configuration with 2,500 routes fit on a disk of 64 MB, before and after a restart", () => {
  const cluster = new ClusterFixture(["d:a"], [0], {
    tolerate: { machines: 0, zones: 0 },
    limits: { diskMb },
  });
  limitDisks(cluster);
  const machine = cluster.machineAt(0);
  cluster.bootAll();
  cluster.waitUntil(hasLeader(cluster), 5000);
  const changes = new ConfigChanges(cluster, new LargeConfig(2500));
  for (let round = 0; round < 1000; round += 1) expect(changes.proposeNext()).toContain("accepted");
  cluster.kill(machine);
  cluster.boot(machine, { bootstrap: false });
  cluster.waitUntil(hasLeader(cluster), 10_000);
  for (const sequence of [1, 2, 64, 65, 700, 999, 1000])
    expect(readConfigAt(cluster, machine, sequence) === changes.texts[sequence - 1]).toBe(true);
  expect(cluster.logLines.filter((line) => line.includes("disk full"))).toEqual([]);
  expect(machine.disk?.usedBytes ?? Infinity).toBeLessThan(diskMb * 1_000_000);
}, 300_000);

test("the history removes its oldest configs once its quota is used up, and reports them as removed", () => {
  const cluster = new ClusterFixture(["d:a", "d:b", "d:c"], [0, 1, 2], { limits: { diskMb: 1 } });
  cluster.bootAll();
  cluster.waitUntil(hasLeader(cluster), 5000);
  const config = new LargeConfig(120);
  const changes = new ConfigChanges(cluster, config);
  let acceptedCount = 0;
  while (acceptedCount < 1400) acceptedCount += changes.proposeNext().includes("accepted") ? 1 : 0;
  cluster.wait(5000);
  const { leader } = cluster;
  expect(cluster.logLines.some((line) => line.includes("history quota exceeded"))).toBe(true);
  for (const machine of cluster.diskMachines) {
    expect(readConfigAt(cluster, machine, 1)).toBe("removed");
    expect(readConfigAt(cluster, machine, 1400) === changes.texts[1399]).toBe(true);
    expect(readConfigAt(cluster, machine, 1200) === changes.texts[1199]).toBe(true);
    expect(
      [1, 1200, 1400, 1401].map((version) => requestVersionAt(cluster, machine, version)),
    ).toEqual([410, 200, 200, 404]);
  }
  for (const machine of cluster.diskMachines) cluster.kill(machine);
  for (const machine of cluster.diskMachines) cluster.boot(machine, { bootstrap: false });
  cluster.waitUntil(hasLeader(cluster), 6000);
  cluster.wait(3000);
  expect(readConfigAt(cluster, leader, 1)).toBe("removed");
  expect(readConfigAt(cluster, leader, 1400) === changes.texts[1399]).toBe(true);
}, 300_000);

test("a full disk delays changes only while it is full, and the newest configs remain readable", () => {
  const cluster = new ClusterFixture(["d:a", "d:b", "d:c"], [0, 1, 2], { limits: { diskMb } });
  cluster.bootAll();
  cluster.waitUntil(hasLeader(cluster), 5000);
  const changes = new ConfigChanges(cluster, new LargeConfig(600));
  const acceptUntil = (count: number): void => {
    for (let attempts = 0; changes.texts.length < count; attempts += 1) {
      if (attempts > count + 40) throw new Error("Too many changes were refused.");
      if (!hasLeader(cluster)()) cluster.waitUntil(hasLeader(cluster), 6000);
      changes.proposeNext();
    }
  };
  acceptUntil(300);
  const [first, second] = cluster.diskMachines;
  for (const machine of [first, second]) {
    if (!machine?.disk) throw new Error("A disk is missing.");
    machine.disk.isFull = true;
    cluster.wait(4000);
    machine.disk.isFull = false;
    cluster.wait(2000);
    acceptUntil(changes.texts.length + 150);
  }
  for (const { disk } of cluster.diskMachines) if (disk) disk.isFull = true;
  cluster.wait(3000);
  for (const { disk } of cluster.diskMachines) if (disk) disk.isFull = false;
  cluster.waitUntil(hasLeader(cluster), 6000);
  acceptUntil(700);
  for (const machine of cluster.diskMachines) cluster.kill(machine);
  for (const machine of cluster.diskMachines) cluster.boot(machine, { bootstrap: false });
  cluster.waitUntil(hasLeader(cluster), 6000);
  for (const machine of cluster.diskMachines)
    for (const sequence of [690, 700])
      expect(readConfigAt(cluster, machine, sequence) === changes.texts[sequence - 1]).toBe(true);
  for (const { disk } of cluster.diskMachines)
    expect(disk?.usedBytes).toBeLessThan(diskMb * 1_000_000);
}, 300_000);

/** Writes a disk as earlier builds did: files of 64 complete configs. Returns the newest sequence. */
const writeLegacyDisk = (
  cluster: ClusterFixture,
  machine: FixtureMachine,
  config: LargeConfig,
): number => {
  const { disk, peer } = machine;
  if (!disk) throw new Error("The disk is missing.");
  const createAcceptedConfig = (sequence: number, text: string): AcceptedConfig => ({
    sequence,
    index: sequence,
    changeId: `c${sequence}`,
    acceptedAt: "2026-01-01T00:00:00.000Z",
    text,
  });
  const files = 14;
  for (let file = 0; file < files; file += 1) {
    const text = config.next();
    const records = Array.from({ length: 64 }, (_, index) =>
      encodeCompleteConfig(createAcceptedConfig(file * 64 + index + 1, text)),
    );
    disk.poke(`history-${file}`, Buffer.concat(records));
  }
  const newest = files * 64 + 1;
  const stateMachine = new StateMachine();
  const configs = [createAcceptedConfig(newest, config.next())];
  stateMachine.configBacklog.restore(configs);
  stateMachine.recentConfigs = configs.map(({ sequence, changeId, acceptedAt }) => ({
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
  cluster.startTask(new LogStore(disk).writeSnapshot(durableState));
  cluster.wait(200);
  return newest;
};

for (const [description, limitMb] of [
  ["and the history shrinks to its quota", diskMb],
  [
    "even if the quota is larger than the disk: the history frees space when the disk is full",
    1000,
  ],
] as const)
  test(`changes continue on a disk that an earlier build filled, ${description}`, () => {
    const cluster = new ClusterFixture(["d:a"], [0], {
      tolerate: { machines: 0, zones: 0 },
      limits: { diskMb: limitMb },
      bootstrap: false,
    });
    const machine = cluster.machineAt(0);
    const config = new LargeConfig(2500);
    const newest = writeLegacyDisk(cluster, machine, config);
    if (!machine.disk) throw new Error("The disk is missing.");
    expect(machine.disk.usedBytes).toBeGreaterThan(50_000_000);
    machine.disk.capacityBytes = machine.disk.usedBytes + 400_000;
    cluster.bootAll();
    cluster.waitUntil(hasLeader(cluster), 5000);
    const changes = new ConfigChanges(cluster, config, newest + 1);
    while (changes.texts.length < 200) expect(changes.proposeNext()).toContain("accepted");
    expect(readConfigAt(cluster, machine, changes.newestSequence) === changes.texts.at(-1)).toBe(
      true,
    );
    expect(readConfigAt(cluster, machine, 1)).toBe("removed");
    expect(JSON.parse(readConfigAt(cluster, machine, newest - 1))).toHaveProperty("routes");
    cluster.kill(machine);
    cluster.boot(machine);
    cluster.waitUntil(hasLeader(cluster), 5000);
    expect(readConfigAt(cluster, machine, changes.newestSequence) === changes.texts.at(-1)).toBe(
      true,
    );
  }, 300_000);

test("a member that lost its disk votes and acknowledges before it has the history, and fetches the history afterwards", () => {
  const cluster = new ClusterFixture(["d:a", "d:b", "d:c"], [0, 1, 2], { limits: { diskMb } });
  cluster.bootAll();
  cluster.waitUntil(hasLeader(cluster), 5000);
  const changes = new ConfigChanges(cluster, new LargeConfig(400));
  while (changes.texts.length < 900) expect(changes.proposeNext()).toContain("accepted");
  const { leader } = cluster;
  const [emptied, other] = cluster.diskMachines.filter((machine) => machine !== leader);
  if (!emptied || !other) throw new Error("A member is missing.");
  cluster.kill(emptied, true);
  cluster.boot(emptied, { bootstrap: false });
  cluster.waitUntil(() => emptied.status?.state === "formed", 4000);
  cluster.kill(other);
  expect(changes.proposeNext()).toContain("accepted");
  cluster.boot(other, { bootstrap: false });
  cluster.wait(60_000);
  for (const machine of cluster.diskMachines.filter((machine) => machine !== emptied))
    cluster.kill(machine);
  for (const sequence of [1, 64, 65, 500, 900, 901])
    expect(readConfigAt(cluster, emptied, sequence) === changes.texts[sequence - 1]).toBe(true);
}, 300_000);
