/** Stores accepted configs on this member's disk, fetches missing ones from other members, and reads them. */
import type { DecodedMessage, RpcEndpoint } from "../../rpc/rpc-endpoint.js";
import { rpcMethods } from "../../rpc/rpc-method.js";
import { sleep } from "../../runtime/clock.js";
import type { Logger } from "../../runtime/logger.js";
import type { Runtime } from "../../runtime/runtime.js";
import { type Task, waitFor } from "../../runtime/task.js";
import type { AcceptedConfig } from "../../state/accepted-config.js";
import type { StateMachine } from "../../state/state-machine.js";
import type { LogWriter } from "../log/log-writer.js";
import { CONFIGS_PER_FILE, ConfigHistory, type SequenceRange } from "./config-history.js";

/** Timeout of a request for configs to another member, in ms. */
const FETCH_TIMEOUT_MS = 600;
/** Interval between two fetches, in ms, in addition to the pause after each. */
const FETCH_INTERVAL_MS = 200;
/** How long a peer whose connection failed, and that has sent nothing since, is skipped, in ms. */
const UNREACHABLE_MS = 3000;
/** Ratio of the pause after a fetch to the fetch's duration; it leaves the other members time for other work. */
const REST_TIME_PER_FETCH_TIME = 3;
/** Fraction of `maxPendingBytes` at which pending configs are written to disk. */
const PERSIST_FRACTION = 1 / 4;
/** Maximum random delay before a member writes its pending configs, in ms. */
const PERSIST_SPREAD_MS = 1000;

/** The result of reading an accepted config. */
export type ConfigRead =
  | { readonly kind: "found"; readonly config: AcceptedConfig }
  /** It was accepted, and later removed to free disk space. */
  | { readonly kind: "removed" }
  /** No member that replied has the config, and not all voters replied. */
  | { readonly kind: "unknown" };

/** The dependencies of the history service. */
export interface HistoryServiceOptions {
  readonly runtime: Runtime;
  readonly rpc: RpcEndpoint;
  readonly stateMachine: StateMachine;
  readonly history: ConfigHistory;
  readonly writer: LogWriter;
  readonly isFormed: () => boolean;
  readonly voters: () => readonly string[];
  /** Peers other than the voters that may have configs. */
  readonly otherPeers: () => readonly string[];
  /** Maximum text of configs that may be pending in memory and snapshots while the disk refuses writes. */
  readonly maxPendingBytes: number;
  /** Called when the state machine may release the configs up to a sequence. */
  readonly onReleased: (upToSequence: number) => void;
}

/** The result of requesting configs from other members. */
interface FetchResult {
  readonly configs: readonly AcceptedConfig[];
  /** Whether each voter replied that it has none. */
  readonly isMissingEverywhere: boolean;
}

const ignoreResult = (): void => undefined;

/** The history of accepted configs of one member. */
export class HistoryService {
  private readonly options: HistoryServiceOptions;
  private readonly log: Logger;
  /** Ranges that were damaged on disk and haven't been fetched again yet. */
  private damaged: SequenceRange[] = [];
  /** Whether the last write of pending configs failed; it is retried. */
  private lastWriteFailed = false;
  private isPersistScheduled = false;
  private isPersisting = false;
  /** Whether configs were missing at the last fetch. */
  private wasIncomplete = false;
  /** The sequence up to which no voter has the configs. */
  private unavailableUpTo = 0;

  constructor(options: HistoryServiceOptions) {
    this.options = options;
    this.log = options.runtime.loggers.component("replication");
  }

  /** Serves the configs that are stored here to other members. */
  serve(): void {
    this.options.rpc.serve(rpcMethods.history, ({ from }) => this.readPiece(from));
  }

  /** Measures the stored files, then fetches missing configs, newest first, as long as the daemon runs. */
  *run(): Task {
    const { runtime, history, isFormed } = this.options;
    const { clock } = runtime;
    yield* this.check();
    for (;;) {
      if (isFormed()) {
        if (history.isDamaged) yield* this.check();
        if (this.lastWriteFailed) this.persist();
        const startedMs = clock.nowMs();
        yield* this.fetchMissing();
        const durationMs = clock.nowMs() - startedMs;
        yield* sleep(clock, REST_TIME_PER_FETCH_TIME * durationMs);
      }
      yield* sleep(clock, FETCH_INTERVAL_MS);
    }
  }

  /**
   * Writes configs to disk once those in the state machine exceed a fraction of the pending limit. Members write at
   * different times: writing a large config takes a while, and the leader needs a responsive majority meanwhile.
   */
  persistWhenLarge(): void {
    const { runtime, isFormed } = this.options;
    if (this.isPersisting || this.isPersistScheduled || !isFormed() || !this.isLarge) return;
    this.isPersistScheduled = true;
    runtime.clock.after(runtime.random() * PERSIST_SPREAD_MS, () => {
      this.isPersistScheduled = false;
      if (!this.isPersisting && this.isLarge) this.persist();
    });
  }

  /** Writes the configs in the state machine to disk, after which the state machine releases them. */
  persist(): void {
    const { stateMachine, history, writer, onReleased } = this.options;
    const { configBacklog } = stateMachine;
    const newest = configBacklog.newest?.sequence ?? 0;
    this.lastWriteFailed = false;
    if (newest <= history.newestSequence) return onReleased(history.newestSequence);
    this.isPersisting = true;
    writer.attempt(
      () => history.add(configBacklog.read()),
      (succeeded) => {
        this.isPersisting = false;
        this.lastWriteFailed = !succeeded;
        if (succeeded) onReleased(newest);
        else this.dropPending();
      },
    );
    writer.attempt(() => this.shrink(), ignoreResult);
  }

  /** Reads one accepted config, from this member or another one. */
  *read(sequence: number): Task<ConfigRead> {
    const { stateMachine, history } = this.options;
    const ownConfig = stateMachine.configBacklog.find(sequence) ?? (yield* history.read(sequence));
    if (ownConfig) return { kind: "found", config: ownConfig };
    if (sequence <= this.unavailableUpTo) return { kind: "removed" };
    const { configs, isMissingEverywhere } = yield* this.fetch(sequence);
    const [config] = configs;
    if (config) return { kind: "found", config };
    return { kind: isMissingEverywhere ? "removed" : "unknown" };
  }

  private get isLarge(): boolean {
    const { stateMachine, maxPendingBytes } = this.options;
    const { size, textLength } = stateMachine.configBacklog;
    return size > 1 && textLength > maxPendingBytes * PERSIST_FRACTION;
  }

  private *readPiece(from: number): Task<DecodedMessage<typeof rpcMethods.history.response>> {
    const { stateMachine, history, isFormed } = this.options;
    if (!isFormed()) return { configs: new Uint8Array() };
    const stored = yield* history.readPiece(from);
    if (stored.length > 0) return { configs: stored };
    const { configBacklog } = stateMachine;
    const isContained = from >= (configBacklog.firstSequence ?? Infinity);
    return {
      configs: isContained
        ? ConfigHistory.packPiece(configBacklog.readFrom(from))
        : new Uint8Array(),
    };
  }

  /** Fetches configs from a sequence on from the first member that has them; voters are tried first, in their order. */
  private *fetch(from: number): Task<FetchResult> {
    const { rpc, voters, otherPeers } = this.options;
    const voterPeers = voters();
    const replied = new Set([rpc.self]);
    const tried = new Set([rpc.self, ""]);
    for (const peer of [...voterPeers, ...otherPeers()]) {
      if (tried.has(peer)) continue;
      tried.add(peer);
      if (this.isUnreachable(peer)) continue;
      const response = yield* rpc.call(peer, rpcMethods.history, { from }, FETCH_TIMEOUT_MS);
      if (!response) continue;
      replied.add(peer);
      const configs = ConfigHistory.unpackPiece(response.configs, from);
      if (configs.length > 0) return { configs, isMissingEverywhere: false };
    }
    return { configs: [], isMissingEverywhere: voterPeers.every((voter) => replied.has(voter)) };
  }

  private isUnreachable(peer: string): boolean {
    const { runtime, rpc } = this.options;
    return rpc.isUnreachable(peer, runtime.clock.nowMs() - UNREACHABLE_MS);
  }

  /** Fetches some of the newest configs that are missing here, while the quota allows. */
  private *fetchMissing(): Task {
    const { history } = this.options;
    const missing = this.missingRange();
    if (!missing) {
      if (this.wasIncomplete) this.log.info("history complete", { newest: history.newestSequence });
      this.wasIncomplete = false;
      return;
    }
    this.wasIncomplete = true;
    const { configs, isMissingEverywhere } = yield* this.fetchFrom(missing);
    if (configs.length > 0)
      yield* this.store(configs.filter(({ sequence }) => sequence <= missing.to));
    else if (isMissingEverywhere) this.unavailableUpTo = Math.max(this.unavailableUpTo, missing.to);
    this.reportRepairs();
  }

  /**
   * Fetches the last `CONFIGS_PER_FILE` configs of a range; if no member has the first of them, halves the distance to
   * its end.
   */
  private *fetchFrom({ from, to }: SequenceRange): Task<FetchResult> {
    let first = Math.max(from, to - CONFIGS_PER_FILE + 1);
    for (;;) {
      const result = yield* this.fetch(first);
      if (result.configs.length > 0 || first === to) return result;
      first = Math.ceil((first + 1 + to) / 2);
    }
  }

  /** Returns the newest range that is missing here and may be available from other members. */
  private missingRange(): SequenceRange | undefined {
    const { history } = this.options;
    const range = this.missingOnDisk();
    const removedUpTo = Math.max(this.unavailableUpTo, history.removedUpTo);
    if (!range || range.to <= removedUpTo || !history.hasSpareQuota) return undefined;
    return { from: Math.max(range.from, removedUpTo + 1), to: range.to };
  }

  private missingOnDisk(): SequenceRange | undefined {
    const { stateMachine, history } = this.options;
    return history.findMissingBelow(stateMachine.configBacklog.firstSequence ?? 1);
  }

  private *store(configs: AcceptedConfig[]): Task {
    const { history, writer } = this.options;
    yield* waitFor<boolean>((done) => writer.attempt(() => history.add(configs), done));
  }

  /** Measures the files in a task of the disk's writer, since it truncates damaged files. */
  private *check(): Task {
    const { history, writer } = this.options;
    const lost: SequenceRange[] = [];
    const check = function* (): Task {
      lost.push(...(yield* history.check()));
    };
    yield* waitFor<boolean>((done) => writer.attempt(check, done));
    for (const range of lost) {
      this.log.warn("history file damaged", { ...range });
      this.damaged.push(range);
    }
    yield* waitFor<boolean>((done) => writer.attempt(() => this.shrink(), done));
  }

  private reportRepairs(): void {
    const missing = this.missingOnDisk();
    const isRepaired = ({ from }: SequenceRange): boolean => !missing || missing.to < from;
    for (const range of this.damaged.filter(isRepaired))
      this.log.info("history file repaired", { ...range });
    this.damaged = this.damaged.filter((range) => !isRepaired(range));
  }

  private *shrink(): Task {
    const removed = yield* this.options.history.shrink();
    if (removed) this.log.info("history quota exceeded, oldest configs removed", { ...removed });
  }

  /** Bounds the pending text while the disk refuses writes: beyond the limit only the newest config is retained. */
  private dropPending(): void {
    const { stateMachine, maxPendingBytes, onReleased } = this.options;
    const { size, textLength, newest } = stateMachine.configBacklog;
    if (textLength <= maxPendingBytes || size < 2 || !newest) return;
    const upTo = newest.sequence - 1;
    this.log.warn("history write failed, pending configs dropped", { upTo });
    onReleased(upTo);
  }
}
