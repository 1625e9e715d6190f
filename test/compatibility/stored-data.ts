/** Reads stored data folders by the present code, and writes samples of all stored data. */
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

/** Abbreviates a text of over 200 characters to its SHA-256 digest. */
const abbreviate = (text: string): string =>
  text.length <= 200 ? text : `sha256 ${createHash("sha256").update(text).digest("hex")}`;

/** A virtual disk with a clock that advances only while a task runs. */
class DiskFixture {
  readonly time = new VirtualClock();
  readonly disk = new VirtualDisk(this.time.clock(), () => 0.5);

  constructor(files: Files = new Map()) {
    for (const [name, bytes] of files) this.disk.poke(name, bytes);
  }

  /** Runs a task to completion and returns its value. */
  run<T>(task: Task<T>): T {
    return runTaskOn(this.time, task);
  }

  /** The files on the disk now. */
  get files(): Files {
    return new Map(this.run(this.disk.list()).map((name) => [name, this.disk.peek(name)]));
  }
}

/** Runs a task on a virtual clock to completion and returns its value; throws after 30 virtual seconds. */
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
  throw new Error("the task has not completed within 30 virtual seconds");
};

/** A stored configuration in the form of the expected state. */
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

/** The whole state of a state machine in the form of the expected state. */
const describeState = (stateMachine: StateMachine, changeIds: readonly string[]) => ({
  version: stateMachine.version,
  configurations: [...stateMachine.configBacklog.read()].map(describeConfiguration),
  listing: stateMachine.recentConfigs.map(({ sequence, version, changeId, acceptedAt }) => ({
    sequence,
    version: version ?? null,
    changeId,
    acceptedAt,
  })),
  versionsByChange: changeIds.map((id) => [id, stateMachine.findVersionOfChange(id) ?? null]),
  registrations: [...stateMachine.registrations.values()]
    .map((registration) => ({
      address: registration.address,
      service: registration.service,
      zone: registration.zone,
      warmth: registration.warmth,
      number: registration.number,
      isLeaving: registration.leaving,
      leftAt: registration.leftAt,
      isDrained: registration.drained,
      instance: registration.instance,
      capacity: registration.capacity,
      warmUpMs: registration.warmMs,
      announcement: registration.order,
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

/** Loads a data folder as a restarted member does. */
const loadFolder = (fixture: DiskFixture): { store: LogStore; state: DurableState } => {
  const store = new LogStore(fixture.disk);
  const loaded = fixture.run(store.load());
  if (loaded.kind !== "loaded")
    throw new Error(`the data folder is ${loaded.kind}, expected a loaded one`);
  return { store, state: loaded.state };
};

/** All configurations in the history files. */
const readHistory = (fixture: DiskFixture, store: LogStore) => {
  const configurations = [];
  for (let sequence = 1; sequence <= store.history.newestSequence; sequence += 1) {
    const config = fixture.run(store.history.read(sequence));
    if (config) configurations.push(describeConfiguration(config));
  }
  return configurations;
};

/** Reads a data folder as a restarted member does: the snapshot, and the state after applying the log entries to it. */
export const readStored = (files: Files, changeIds: readonly string[] = []) => {
  const fixture = new DiskFixture(files);
  const { store, state: durableState } = loadFolder(fixture);
  const partial = store.snapshotPart.takeLoaded().map((piece) => ({
    lastIndex: piece.lastIndex,
    lastTerm: piece.lastTerm,
    totalBytes: piece.totalBytes,
    checksum: piece.checksum,
    offset: piece.offset,
    text: abbreviate(inflateRawSync(piece.bytes).toString("utf8")),
  }));
  const stateMachine = new StateMachine();
  const hasSnapshot = durableState.snapshot !== "{}";
  const { voters, learners } = hasSnapshot
    ? stateMachine.restore(durableState.snapshot)
    : { voters: [], learners: [] };
  const outcomes = hasSnapshot
    ? durableState.entries.map(
        ({ index, text }) => `${index} ${abbreviate(stateMachine.apply(index, text))}`,
      )
    : [];
  return {
    cluster: durableState.fleet,
    rejoinMark: durableState.rejoinNonce,
    term: durableState.term,
    votedFor: durableState.votedFor,
    snapshotIndex: durableState.lastIndex,
    snapshotTerm: durableState.lastTerm,
    snapshotVoters: voters,
    snapshotLearners: learners,
    entries: durableState.entries.map(
      ({ index, term, text }) => `${index} ${term} ${abbreviate(text)}`,
    ),
    outcomes,
    state: describeState(stateMachine, changeIds),
    history: readHistory(fixture, store),
    partialSnapshot: partial,
  };
};

/**
 * The stored text of the snapshot, and the text that the present code writes after reading it. A snapshot contains its members
 * in the same form as a membership entry, so a membership entry is encoded and read too.
 */
export const reencodeSnapshot = (files: Files): { stored: string; rewritten: string } => {
  const { state: durableState } = loadFolder(new DiskFixture(files));
  const stateMachine = new StateMachine();
  const { voters, learners } = stateMachine.restore(durableState.snapshot);
  const members = parseMembersEntry(encodeLogCommand({ kind: "members", voters, learners }));
  if (!members) throw new Error("a membership entry was not parsed as one");
  return { stored: durableState.snapshot, rewritten: stateMachine.snapshot(members) };
};

/** Reads the text of a stored configuration by the present code. */
export const readConfiguration = (text: string): unknown => new ConfigReader().read(text);

/** The stored texts of the log entries, each with the text that the present code writes after reading it. */
export const reencodeEntries = (files: Files): Array<{ stored: string; rewritten: string }> =>
  loadFolder(new DiskFixture(files)).state.entries.map(({ text }) => ({
    stored: text,
    rewritten: encodeLogCommand(readLogCommand(text)),
  }));

/** The kinds of log entries in a data folder, read from the stored texts. */
export const entryKinds = (files: Files): string[] => {
  const kinds = loadFolder(new DiskFixture(files)).state.entries.map(
    ({ text }) => /^\{"kind":"(\w+)"/.exec(text)?.[1] ?? "none",
  );
  return [...new Set(kinds)].sort();
};

/** The JSON texts in a file of deflated records with checksums. */
export const recordTexts = (bytes: Uint8Array): string[] => {
  const buffer = Buffer.from(bytes);
  const texts: string[] = [];
  let offset = 0;
  for (
    let body = readChecksummed(buffer, offset);
    body !== undefined;
    body = readChecksummed(buffer, offset)
  ) {
    texts.push(inflateRawSync(body).toString("utf8"));
    offset += CHECKSUM_HEADER_BYTES + body.length;
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
 * Writes a sample of each kind of file through the storage alone: slots, a log with entries, a truncation and a vote, history
 * files of both layouts, and two pieces of a snapshot.
 */
export const writeSampleStorage = (): Files => {
  const fixture = new DiskFixture();
  const completeConfigs = [1, 2].map((sequence) =>
    encodeCompleteConfig(createConfiguration(sequence)),
  );
  fixture.disk.poke("history-0", Buffer.concat(completeConfigs));
  const store = new LogStore(fixture.disk);
  fixture.run(store.load());
  fixture.run(store.writeSnapshot(sampleDurableState));
  fixture.run(
    store.writeSnapshot({ ...sampleDurableState, lastIndex: 21, lastTerm: 4, entries: [] }),
  );
  fixture.run(
    store.append([
      { kind: "entry", index: 22, term: 4, text: "entry 22, é" },
      { kind: "entry", index: 23, term: 4, text: "entry 23" },
      { kind: "truncate", index: 23 },
      { kind: "vote", term: 5, text: "10.0.0.3:7000" },
    ]),
  );
  const history = new ConfigHistory(fixture.disk);
  fixture.run(history.load(fixture.run(fixture.disk.list())));
  fixture.run(history.add([3, 4, 5].map(createConfiguration)));
  addSnapshotPieces(fixture, store, 19);
  return fixture.files;
};

/** Adds two of the three pieces of a snapshot up to an index. */
const addSnapshotPieces = (fixture: DiskFixture, store: LogStore, lastIndex: number): void => {
  const snapshot = new SharedSnapshot(lastIndex, 3, "x".repeat(600_000));
  for (const offset of [0, 256 * 1024]) fixture.run(store.snapshotPart.add(snapshot.piece(offset)));
};

/** The file of a partial snapshot up to an index. */
export const partialSnapshot = (lastIndex: number): Buffer => {
  const fixture = new DiskFixture();
  addSnapshotPieces(fixture, new LogStore(fixture.disk), lastIndex);
  return fixture.disk.peek("snapshot-part");
};

/** Loads a folder whose clearing was interrupted; returns the result and the names of the files left. */
export const loadAfterInterruptedClear = (): { found: string; names: string[] } => {
  const fixture = new DiskFixture(writeSampleStorage());
  fixture.run(new LogStore(fixture.disk).clear());
  const found = fixture.run(new LogStore(fixture.disk).load()).kind;
  return { found, names: [...fixture.files.keys()].sort() };
};

/** A log record with its length and checksum. */
export const encodeRecord = (text: string): Uint8Array => withChecksum(Buffer.from(text, "utf8"));

/** The encoded piece of the history that daemons send, with two configurations. */
export const encodeHistoryPiece = (): Uint8Array =>
  ConfigHistory.packPiece([2, 3].map(createConfiguration));

/** Decodes a piece of the history whose first configuration has sequence 2. */
export const readHistoryPiece = (bytes: Uint8Array) =>
  ConfigHistory.unpackPiece(bytes, 2).map(describeConfiguration);

/** A cluster with a single member, which is the leader. */
export class SingleMemberCluster extends ClusterFixture {
  /** Starts on a data folder, or on an empty disk; writes a snapshot after `snapshotBytes` bytes of log. */
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
    const replicationTimeouts = snapshotBytes === undefined ? {} : { snapshotBytes };
    return { ...super.daemonOptions(), replicationTimeouts };
  }

  /** Kills the process, starts it again, and waits until it leads. */
  restart(): void {
    if (this.member.daemon) this.kill(this.member);
    this.boot(this.member);
    this.waitUntil(() => this.member.daemon?.replicationNode?.holdsLease === true, 20_000);
  }

  /** Commits a log entry and returns its outcome. */
  commitEntry(text: string): string {
    const { replicationNode } = this.member.daemon ?? {};
    if (!replicationNode) throw new Error("the member is not running");
    const proposed = runTaskOn(this.virtualClock, replicationNode.propose(text));
    if (proposed.kind !== "committed")
      throw new Error(`the entry was not committed: ${proposed.kind}`);
    return proposed.outcome;
  }

  /** The bytes received of another leader's snapshot. */
  get receivedSnapshotBytes(): number {
    return this.member.daemon?.replicationNode?.receivedSnapshotBytes ?? 0;
  }

  /** The text of an accepted configuration, as the member reads it. */
  configurationText(sequence: number): string | undefined {
    return this.readConfig(this.member, sequence);
  }

  /** The files on the member's disk now. */
  get files(): Files {
    const { disk } = this.member;
    if (!disk) throw new Error("the member has no disk");
    const names = runTaskOn(this.virtualClock, disk.list());
    return new Map(names.map((name) => [name, disk.peek(name)]));
  }
}
