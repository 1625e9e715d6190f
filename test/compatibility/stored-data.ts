import { createHash } from "node:crypto";
import { inflateRawSync } from "node:zlib";
import { ConfigReader } from "../../src/configuration/config-validation.js";
import type { DaemonOptions } from "../../src/daemon/daemon-options.js";
import { StateMachine } from "../../src/state/state-machine.js";
import { encodeLogCommand, readLogCommand } from "../../src/state/log-command.js";
import { storedConfig, type AcceptedConfig } from "../../src/state/accepted-config.js";
import { ConfigHistory } from "../../src/replication/history/config-history.js";
import { encodeCompleteConfig } from "../../src/replication/history/history-format.js";
import { parseMembersEntry } from "../../src/consensus/members.js";
import {
  withChecksum,
  CHECKSUM_HEADER_BYTES,
  readChecksummed,
} from "../../src/replication/log/checksum.js";
import { SharedSnapshot } from "../../src/replication/snapshot/snapshot-sender.js";
import { LogStore } from "../../src/replication/log/log-store.js";
import type { DurableState } from "../../src/replication/log/durable-state.js";
import { VirtualClock } from "../../src/simulation/virtual-clock.js";
import { VirtualDisk } from "../../src/simulation/virtual-disk.js";
import { type Task, runTask } from "../../src/runtime/task.js";
import { ClusterFixture, type FixtureMachine } from "../replication/fleet-stage.js";

/** The files of a data folder, by name. */
export type Files = ReadonlyMap<string, Buffer>;

/** A text as it is compared: a long one by its digest. */
const abbreviate = (text: string): string =>
  text.length <= 200 ? text : `sha256 ${createHash("sha256").update(text).digest("hex")}`;

/** A virtual disk and a clock that moves only as far as its tasks need. */
class DiskFixture {
  readonly time = new VirtualClock();
  readonly disk = new VirtualDisk(this.time.clock(), () => 0.5);

  constructor(files: Files = new Map()) {
    for (const [name, bytes] of files) this.disk.poke(name, bytes);
  }

  /** Runs a task to its end and gives its value. */
  run<T>(task: Task<T>): T {
    return runTaskOn(this.time, task);
  }

  /** The files that the disk holds now. */
  get files(): Files {
    return new Map(this.run(this.disk.list()).map((name) => [name, this.disk.peek(name)]));
  }
}

/** Runs a task on a virtual clock to its end, within 30 virtual seconds, and gives its value. */
export const runTaskOn = <T>(time: VirtualClock, task: Task<T>): T => {
  const values: T[] = [];
  runTask(
    task,
    (error) => {
      throw error;
    },
    (value) => values.push(value),
  );
  for (let rounds = 0; values.length === 0 && rounds < 6000; rounds += 1)
    time.runUntil(time.nowMs() + 5);
  for (const value of values) return value;
  throw new Error("The task has not ended.");
};

/** What a stored configuration says, in the words of the expectations. */
const describeConfiguration = (config: AcceptedConfig) => {
  const { sequence, version, index, changeId, acceptedAt, text } = storedConfig(config);
  return {
    sequence,
    version: version ?? null,
    index,
    changeId,
    acceptedAt,
    text: abbreviate(text),
  };
};

/** Everything that a replica's state machine holds, in the words of the expectations. */
const describeState = (stateMachine: StateMachine, changeIds: readonly string[]) => ({
  version: stateMachine.version,
  configurations: stateMachine.configs.map(describeConfiguration),
  listing: stateMachine.recentConfigs.map(({ sequence, version, changeId, acceptedAt }) => ({
    sequence,
    version: version ?? null,
    changeId,
    acceptedAt,
  })),
  versionsByChange: changeIds.map((id) => [id, stateMachine.findVersionOfChange(id) ?? null]),
  registrations: [...stateMachine.registrations.values()]
    .map((one) => ({
      address: one.address,
      service: one.service,
      zone: one.zone,
      warmth: one.warmth,
      number: one.number,
      isLeaving: one.leaving,
      leftAt: one.leftAt,
      isDrained: one.drained,
      instance: one.instance,
      capacity: one.capacity,
      warmUpMs: one.warmMs,
      announcement: one.order,
    }))
    .sort((a, b) => (a.address < b.address ? -1 : 1)),
  registrationsIndex: stateMachine.endpointSequence,
  goneInstances: [...stateMachine.tombstones],
  claims: [...stateMachine.claims].map(([key, { bodyHash, job, verdict, holders, atIndex }]) => ({
    key,
    bodyHash,
    request: job,
    outcome: verdict,
    holders: holders ?? null,
    index: atIndex,
  })),
  numbersInUse: stateMachine.idAllocator.state.inForce,
  numbersResting: stateMachine.idAllocator.state.resting,
  numbersFree: stateMachine.idAllocator.state.free,
  nextNumber: stateMachine.idAllocator.state.next,
  events: stateMachine.journal.map(({ index, text }) => ({ index, text })),
  quotaHolders: [...stateMachine.retryCapacityHolders],
});

/** Loads a data folder the way a restarted member does. */
const loadFolder = (stage: DiskFixture): { store: LogStore; state: DurableState } => {
  const store = new LogStore(stage.disk);
  const loaded = stage.run(store.load());
  if (loaded.kind !== "loaded") throw new Error(`The data folder is ${loaded.kind}.`);
  return { store, state: loaded.state };
};

/** All configurations that the history files hold, up to the newest. */
const readHistory = (stage: DiskFixture, store: LogStore) => {
  const kept = [];
  for (let sequence = 1; sequence <= store.history.newestSequence; sequence += 1) {
    const config = stage.run(store.history.read(sequence));
    if (config) kept.push(describeConfiguration(config));
  }
  return kept;
};

/** What a data folder says to a member that opens it, snapshot and log entries together. */
export const readStored = (files: Files, changeIds: readonly string[] = []) => {
  const stage = new DiskFixture(files);
  const { store, state: sampleDurableState } = loadFolder(stage);
  const partial = store.snapshotPart.takeLoaded().map((piece) => ({
    lastIndex: piece.lastIndex,
    lastTerm: piece.lastTerm,
    totalBytes: piece.totalBytes,
    checksum: piece.checksum,
    offset: piece.offset,
    text: abbreviate(inflateRawSync(piece.bytes).toString("utf8")),
  }));
  const stateMachine = new StateMachine();
  const hasSnapshot = sampleDurableState.snapshot !== "{}";
  const { voters, learners } = hasSnapshot
    ? stateMachine.restore(sampleDurableState.snapshot)
    : { voters: [], learners: [] };
  const outcomes = hasSnapshot
    ? sampleDurableState.entries.map(
        ({ index, text }) => `${index} ${abbreviate(stateMachine.apply(index, text))}`,
      )
    : [];
  return {
    cluster: sampleDurableState.fleet,
    rejoinMark: sampleDurableState.rejoinNonce,
    term: sampleDurableState.term,
    votedFor: sampleDurableState.votedFor,
    snapshotIndex: sampleDurableState.lastIndex,
    snapshotTerm: sampleDurableState.lastTerm,
    snapshotVoters: voters,
    snapshotLearners: learners,
    entries: sampleDurableState.entries.map(
      ({ index, term, text }) => `${index} ${term} ${abbreviate(text)}`,
    ),
    outcomes,
    state: describeState(stateMachine, changeIds),
    history: readHistory(stage, store),
    partialSnapshot: partial,
  };
};

/**
 * The snapshot's text as it is stored, and as the present code writes it after reading it. A snapshot names its members as
 * the log entry that set them does, so that this entry is read again too.
 */
export const reencodeSnapshot = (files: Files): { stored: string; rewritten: string } => {
  const { state: sampleDurableState } = loadFolder(new DiskFixture(files));
  const stateMachine = new StateMachine();
  const { voters, learners } = stateMachine.restore(sampleDurableState.snapshot);
  const members = parseMembersEntry(encodeLogCommand({ kind: "members", voters, learners }));
  if (!members) throw new Error("A membership entry isn't read as one.");
  return { stored: sampleDurableState.snapshot, rewritten: stateMachine.snapshot(members) };
};

/** What the present code takes a stored configuration for. */
export const readConfiguration = (text: string): unknown => new ConfigReader().read(text);

/** The texts of the stored log entries, each with the text that the present code writes for what it read. */
export const reencodeEntries = (files: Files): Array<{ stored: string; rewritten: string }> =>
  loadFolder(new DiskFixture(files)).state.entries.map(({ text }) => ({
    stored: text,
    rewritten: encodeLogCommand(readLogCommand(text)),
  }));

/** The kinds of the log entries of a data folder, by their stored texts. */
export const entryKinds = (files: Files): string[] => {
  const kinds = loadFolder(new DiskFixture(files)).state.entries.map(
    ({ text }) => /^\{"kind":"(\w+)"/.exec(text)?.[1] ?? "none",
  );
  return [...new Set(kinds)].sort();
};

/** The JSON texts of a file of deflated, sealed records. */
export const recordTexts = (bytes: Uint8Array): string[] => {
  const buffer = Buffer.from(bytes);
  const texts: string[] = [];
  let at = 0;
  for (
    let body = readChecksummed(buffer, at);
    body !== undefined;
    body = readChecksummed(buffer, at)
  ) {
    texts.push(inflateRawSync(body).toString("utf8"));
    at += CHECKSUM_HEADER_BYTES + body.length;
  }
  return texts;
};

const createConfiguration = (sequence: number): AcceptedConfig => ({
  sequence,
  ...(sequence < 3 ? {} : { version: sequence * 10 }),
  index: sequence + 100,
  changeId: `change-${sequence}`,
  acceptedAt: "accepted",
  text: `{"services":{"service-${sequence}":{}},"routes":{},"note":"a text that stays the same"}`,
});

const sampleDurableState: DurableState = {
  fleet: "cluster-1",
  rejoinNonce: "mark-1",
  term: 4,
  votedFor: "10.0.0.2:7000",
  lastIndex: 20,
  lastTerm: 3,
  snapshot: "{}",
  entries: [{ index: 21, term: 4, text: "entry 21" }],
};

/**
 * Writes one of everything that a member stores, by the storage alone: slots, a log with entries, a vote and a cut, history
 * files of both layouts and two pieces of a snapshot.
 */
export const writeSampleStorage = (): Files => {
  const stage = new DiskFixture();
  const wholes = [1, 2].map((sequence) => encodeCompleteConfig(createConfiguration(sequence)));
  stage.disk.poke("history-0", Buffer.concat(wholes));
  const store = new LogStore(stage.disk);
  stage.run(store.load());
  stage.run(store.writeSnapshot(sampleDurableState));
  stage.run(
    store.writeSnapshot({ ...sampleDurableState, lastIndex: 21, lastTerm: 4, entries: [] }),
  );
  stage.run(
    store.append([
      { kind: "entry", index: 22, term: 4, text: "entry 22, é" },
      { kind: "entry", index: 23, term: 4, text: "entry 23" },
      { kind: "truncate", index: 23 },
      { kind: "vote", term: 5, text: "10.0.0.3:7000" },
    ]),
  );
  const history = new ConfigHistory(stage.disk);
  stage.run(history.load(stage.run(stage.disk.list())));
  stage.run(history.add([3, 4, 5].map(createConfiguration)));
  addSnapshotPieces(stage, store, 19);
  return stage.files;
};

/** Adds two of three pieces of a snapshot that ends at an index. */
const addSnapshotPieces = (stage: DiskFixture, store: LogStore, lastIndex: number): void => {
  const snapshot = new SharedSnapshot(lastIndex, 3, "x".repeat(600_000));
  for (const offset of [0, 256 * 1024]) stage.run(store.snapshotPart.add(snapshot.piece(offset)));
};

/** The file of a partial snapshot that ends at an index. */
export const partialSnapshot = (lastIndex: number): Buffer => {
  const stage = new DiskFixture();
  addSnapshotPieces(stage, new LogStore(stage.disk), lastIndex);
  return stage.disk.peek("snapshot-part");
};

/** What a member finds in a folder whose clearing began but didn't end, and the files there. */
export const loadAfterInterruptedClear = (): { found: string; names: string[] } => {
  const stage = new DiskFixture(writeSampleStorage());
  stage.run(new LogStore(stage.disk).clear());
  const found = stage.run(new LogStore(stage.disk).load()).kind;
  return { found, names: [...stage.files.keys()].sort() };
};

/** A record behind its length and checksum, as the log holds it. */
export const encodeRecord = (text: string): Uint8Array => withChecksum(Buffer.from(text, "utf8"));

/** A configuration of the history, as a piece of it travels. */
export const encodeHistoryPiece = (): Uint8Array =>
  ConfigHistory.packPiece([2, 3].map(createConfiguration));

/** The configurations of a piece of the history that begins with the second. */
export const readHistoryPiece = (bytes: Uint8Array) =>
  ConfigHistory.unpackPiece(bytes, 2).map(describeConfiguration);

/** A fleet of one member, which leads alone. */
export class SingleMemberCluster extends ClusterFixture {
  /** Begins on a data folder, or on an empty disk; `snapshotBytes` is after how many bytes it writes a snapshot. */
  constructor(
    files: Files,
    private readonly snapshotBytes?: number,
  ) {
    super(["d:a"], [0], { tolerate: { machines: 0, zones: 0 } });
    for (const [name, bytes] of files) this.member.disk?.poke(name, bytes);
    this.restart();
  }

  private get member(): FixtureMachine {
    return this.machineAt(0);
  }

  protected override daemonOptions(): DaemonOptions {
    const { snapshotBytes } = this;
    const waits = snapshotBytes === undefined ? {} : { snapshotBytes };
    return { ...super.daemonOptions(), replicationTimeouts: waits };
  }

  /** Kills the process and starts it again; ends once it leads. */
  restart(): void {
    if (this.member.daemon) this.kill(this.member);
    this.boot(this.member);
    this.waitUntil(() => this.member.daemon?.replicationNode?.holdsLease === true, 20_000);
  }

  /** Has an entry committed and gives its outcome. */
  commitEntry(text: string): string {
    const { replicationNode } = this.member.daemon ?? {};
    if (!replicationNode) throw new Error("The member doesn't run.");
    const proposed = runTaskOn(this.virtualClock, replicationNode.propose(text));
    if (proposed.kind !== "committed")
      throw new Error(`The entry was not taken: ${proposed.kind}.`);
    return proposed.outcome;
  }

  /** How much of another leader's snapshot it holds. */
  get receivedSnapshotBytes(): number {
    return this.member.daemon?.replicationNode?.receivedSnapshotBytes ?? 0;
  }

  /** The text of an accepted configuration, as the member finds it. */
  configurationText(sequence: number): string | undefined {
    return this.readConfig(this.member, sequence);
  }

  /** What its disk holds now. */
  get files(): Files {
    const { disk } = this.member;
    if (!disk) throw new Error("The member has no disk.");
    const names = runTaskOn(this.virtualClock, disk.list());
    return new Map(names.map((name) => [name, disk.peek(name)]));
  }
}
