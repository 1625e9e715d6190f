/** Stores accepted configs on this member's disk, fetches missing ones from other members, and reads them back. */
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

/** How long a member's reply with configs is awaited. */
const FETCH_TIMEOUT_MS = 600;
/** The time between two fetches, beside the rest after each. */
const FETCH_INTERVAL_MS = 200;
/** For how long a peer whose connection failed, and that sent nothing since, is passed over. */
const UNREACHABLE_MS = 3000;
/** A member rests this many times as long as a fetch took, so that the other members have time for other work. */
const REST_TIME_PER_FETCH_TIME = 3;
/** The part of the pending text's limit at which configs are written to disk. */
const PERSIST_FRACTION = 1 / 4;
/** Within which time members begin to write the configs that they have by then. */
const PERSIST_SPREAD_MS = 1000;

/** The result of reading an accepted config. */
export type ConfigRead =
  | { readonly kind: "found"; readonly config: AcceptedConfig }
  /** It was accepted, and removed since for lack of room. */
  | { readonly kind: "removed" }
  /** No member that replied has it, and not all voters replied. */
  | { readonly kind: "unknown" };

/** What the history works with. */
export interface HistoryServiceOptions {
  readonly runtime: Runtime;
  readonly rpc: RpcEndpoint;
  readonly stateMachine: StateMachine;
  readonly history: ConfigHistory;
  readonly writer: LogWriter;
  readonly isFormed: () => boolean;
  readonly voters: () => readonly string[];
  /** Further peers that may have configs. */
  readonly otherPeers: () => readonly string[];
  /** How much text of configs may wait in memory and snapshots for a disk that refuses them. */
  readonly maxPendingBytes: number;
  /** Called where the state machine need no longer retain configs up to a sequence. */
  readonly onReleased: (upToSequence: number) => void;
}

/** What other members returned when they were asked for configs. */
interface FetchResult {
  readonly configs: readonly AcceptedConfig[];
  /** Whether each voter replied that it has none. */
  readonly isMissingEverywhere: boolean;
}

const totalTextLength = (configs: readonly AcceptedConfig[]): number =>
  configs.reduce((sum, { text }) => sum + text.length, 0);

const ignoreResult = (): void => undefined;

/** The history of accepted configs, as a member of the replicated log offers it. */
export class HistoryService {
  private readonly options: HistoryServiceOptions;
  private readonly log: Logger;
  /** Ranges that were damaged on disk and that aren't fetched again yet. */
  private damaged: SequenceRange[] = [];
  /** Whether the last write failed. */
  private needsRetry = false;
  private isPersistScheduled = false;
  private isPersisting = false;
  /** Whether configs were missing at the last fetch. */
  private wasIncomplete = false;
  /** No voter has the configs up to this sequence. */
  private unavailableUpTo = 0;

  constructor(options: HistoryServiceOptions) {
    this.options = options;
    this.log = options.runtime.loggers.component("replication");
  }

  /** Serves the configs that are stored here to other members. */
  serve(): void {
    this.options.rpc.serve(rpcMethods.history, ({ from }) => this.pieceFrom(from));
  }

  /** Measures the stored files, then fetches what is missing, newest first, for as long as the daemon runs. */
  *run(): Task {
    const { runtime, history, isFormed } = this.options;
    const { clock } = runtime;
    yield* this.check();
    for (;;) {
      if (isFormed()) {
        if (history.isDamaged) yield* this.check();
        if (this.needsRetry) this.persist();
        const startedMs = clock.nowMs();
        yield* this.fetchMissing();
        const tookMs = clock.nowMs() - startedMs;
        yield* sleep(clock, REST_TIME_PER_FETCH_TIME * tookMs);
      }
      yield* sleep(clock, FETCH_INTERVAL_MS);
    }
  }

  /**
   * Writes configs to disk once those in the state machine have grown to a part of what may be pending. Members do so at
   * different moments: a large config takes a while to write, and the leader needs a responsive majority meanwhile.
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

  /** Writes the configs in the state machine to disk; the state machine releases them then. */
  persist(): void {
    const { stateMachine, history, writer, onReleased } = this.options;
    const { configs } = stateMachine;
    const newest = configs.at(-1)?.sequence ?? 0;
    this.needsRetry = false;
    if (newest <= history.newestSequence) return onReleased(history.newestSequence);
    this.isPersisting = true;
    writer.attempt(
      () => history.add(configs),
      (succeeded) => {
        this.isPersisting = false;
        this.needsRetry = !succeeded;
        if (succeeded) onReleased(newest);
        else this.dropPending();
      },
    );
    writer.attempt(() => this.shrink(), ignoreResult);
  }

  /** Reads one accepted config, from here or from another member. */
  *read(sequence: number): Task<ConfigRead> {
    const { stateMachine, history } = this.options;
    const own =
      stateMachine.configs.find((config) => config.sequence === sequence) ??
      (yield* history.read(sequence));
    if (own) return { kind: "found", config: own };
    if (sequence <= this.unavailableUpTo) return { kind: "removed" };
    const { configs, isMissingEverywhere } = yield* this.fetch(sequence);
    const [config] = configs;
    if (config) return { kind: "found", config };
    return { kind: isMissingEverywhere ? "removed" : "unknown" };
  }

  private get isLarge(): boolean {
    const { stateMachine, maxPendingBytes } = this.options;
    const { configs } = stateMachine;
    return configs.length > 1 && totalTextLength(configs) > maxPendingBytes * PERSIST_FRACTION;
  }

  private *pieceFrom(from: number): Task<DecodedMessage<typeof rpcMethods.history.response>> {
    const { stateMachine, history, isFormed } = this.options;
    if (!isFormed()) return { configs: new Uint8Array() };
    const stored = yield* history.readPiece(from);
    if (stored.length > 0) return { configs: stored };
    const { configs } = stateMachine;
    const first = configs.findIndex(({ sequence }) => sequence === from);
    return {
      configs: first < 0 ? new Uint8Array() : ConfigHistory.packPiece(configs.slice(first)),
    };
  }

  /** Fetches configs from one on, as another member has them; followers are asked before the leader. */
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

  /** Fetches some of the newest configs that are missing here, while there is room for them. */
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
      yield* this.insert(configs.filter(({ sequence }) => sequence <= missing.to));
    else if (isMissingEverywhere) this.unavailableUpTo = Math.max(this.unavailableUpTo, missing.to);
    this.reportRepairs();
  }

  /** Fetches configs of a range: those of its last file from their first on, or from later on where others have no older ones. */
  private *fetchFrom({ from, to }: SequenceRange): Task<FetchResult> {
    let first = Math.max(from, to - CONFIGS_PER_FILE + 1);
    for (;;) {
      const result = yield* this.fetch(first);
      if (result.configs.length > 0 || first === to) return result;
      first = Math.ceil((first + 1 + to) / 2);
    }
  }

  /** The newest range that is missing here and may be available elsewhere. */
  private missingRange(): SequenceRange | undefined {
    const { history } = this.options;
    const range = this.missingOnDisk();
    const removedUpTo = Math.max(this.unavailableUpTo, history.removedUpTo);
    if (!range || range.to <= removedUpTo || !history.hasSpareQuota) return undefined;
    return { from: Math.max(range.from, removedUpTo + 1), to: range.to };
  }

  private missingOnDisk(): SequenceRange | undefined {
    const { stateMachine, history } = this.options;
    return history.findMissingBelow(stateMachine.configs[0]?.sequence ?? 1);
  }

  private *insert(configs: AcceptedConfig[]): Task {
    const { history, writer } = this.options;
    yield* waitFor<boolean>((done) => writer.attempt(() => history.add(configs), done));
  }

  /** Measures the files in a turn of the disk's writer, since what is damaged is cut off. */
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

  /** Bounds the text that waits for a disk that refuses it: beyond the limit only the newest config is retained. */
  private dropPending(): void {
    const { stateMachine, maxPendingBytes, onReleased } = this.options;
    const { configs } = stateMachine;
    const upTo = configs.at(-2)?.sequence;
    if (totalTextLength(configs) <= maxPendingBytes || upTo === undefined) return;
    this.log.warn("history write failed, pending configs dropped", { upTo });
    onReleased(upTo);
  }
}
