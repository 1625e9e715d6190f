import { Clock } from "../../runtime/clock.js";
import type { Logger } from "../../runtime/logger.js";
import { Task } from "../../runtime/task.js";
import type { Runtime } from "../../runtime/runtime.js";
import { RpcMethod } from "../../rpc/rpc-method.js";
import type { DecodedMessage, RpcEndpoint } from "../../rpc/rpc-endpoint.js";
import type { AcceptedConfig, StateMachine } from "../../state/state-machine.js";
import { CONFIGS_PER_FILE, ConfigHistory, type SequenceRange } from "./config-history.js";
import type { LogWriter } from "../log/log-writer.js";

const askWaitMs = 600;
const learnMs = 200;
/** For how long a peer whose connection failed, and that said nothing since, is not asked. */
const failedMs = 3000;
/** A member that learns rests this many times as long as an exchange took, so that those who are asked have time for other work. */
const restsPerExchange = 3;
/** Which part of the text that may wait for the disk is held in memory until it is written. */
const keepPart = 1 / 4;
/** Within which time members begin to keep what they hold by then. */
const keepSpreadMs = 1000;

/** What became of looking for an accepted config. */
export type ConfigRead =
  | { readonly kind: "found"; readonly config: AcceptedConfig }
  /** It was accepted, and removed since for lack of room. */
  | { readonly kind: "noLongerKept" }
  /** Nobody who was reached holds it, and not everybody was reached. */
  | { readonly kind: "unknown" };

/** What the keeper of the history must know of the replicated log's member. */
export interface HistoryServiceOptions {
  readonly isFormed: () => boolean;
  readonly voters: () => readonly string[];
  /** Further peers that may hold configs. */
  readonly others: () => readonly string[];
  /** How much text of configs may wait in memory and snapshots for a disk that refuses them. */
  readonly unkeptBytes: number;
  /** Hears that configs up to one need no longer be held by the state machine. */
  readonly kept: (upTo: number) => void;
}

/** What peers returned when asked for configs. */
interface Fetched {
  readonly configs: readonly AcceptedConfig[];
  /** Whether each voter said what it holds. */
  readonly isEveryVoterHeard: boolean;
}

/** Keeps accepted configs on disk, learns those that are missing from the other members, and reads them back. */
export class HistoryService {
  private readonly runtime: Runtime;
  private readonly rpc: RpcEndpoint;
  private readonly stateMachine: StateMachine;
  private readonly history: ConfigHistory;
  private readonly writer: LogWriter;
  private readonly terms: HistoryServiceOptions;
  private readonly log: Logger;
  /** Ranges that damage took and that aren't learned again yet. */
  private damaged: SequenceRange[] = [];
  /** Whether configs wait for the disk to take them. */
  private isOwing = false;
  /** Whether configs are to be kept shortly. */
  private isKeepPlanned = false;
  /** Whether the disk is taking configs now. */
  private isKeeping = false;
  /** Whether older configs were missing when it was last looked for them. */
  private isLacking = false;
  /** Configs up to this one are kept by no voter. */
  private goneUpTo = 0;

  constructor(
    runtime: Runtime,
    rpc: RpcEndpoint,
    stateMachine: StateMachine,
    history: ConfigHistory,
    writer: LogWriter,
    terms: HistoryServiceOptions,
  ) {
    this.runtime = runtime;
    this.rpc = rpc;
    this.stateMachine = stateMachine;
    this.history = history;
    this.writer = writer;
    this.terms = terms;
    this.log = runtime.loggers.component("record");
  }

  /** Returns to other members what is kept here. */
  serve(): void {
    this.rpc.serve(RpcMethod.history, ({ from }) => this.pieceFrom(from));
  }

  /** The keeper's own task: measures what the disk holds, then learns what is missing, newest first. */
  *run(): Task {
    yield* this.check();
    for (;;) {
      if (this.terms.isFormed()) {
        if (this.history.isDamaged) yield* this.check();
        if (this.isOwing) this.keep();
        const sinceMs = this.runtime.clock.nowMs();
        yield* this.learn();
        const tookMs = this.runtime.clock.nowMs() - sinceMs;
        yield* Clock.sleep(this.runtime.clock, restsPerExchange * tookMs);
      }
      yield* Clock.sleep(this.runtime.clock, learnMs);
    }
  }

  /**
   * Has the disk keep configs once those that the state machine holds have grown to a part of what may wait. Members do so at
   * different moments: a large config takes a while to be written, and the leader needs a majority that answers meanwhile.
   */
  keepWhenMany(): void {
    if (this.isKeeping || this.isKeepPlanned || !this.terms.isFormed() || !this.holdsMany) return;
    this.isKeepPlanned = true;
    this.runtime.clock.after(this.runtime.random() * keepSpreadMs, () => {
      this.isKeepPlanned = false;
      if (!this.isKeeping && this.holdsMany) this.keep();
    });
  }

  private get holdsMany(): boolean {
    const { configs } = this.stateMachine;
    const bytes = configs.reduce((sum, { text }) => sum + text.length, 0);
    return configs.length > 1 && bytes > this.terms.unkeptBytes * keepPart;
  }

  /** Has the disk keep the configs that the state machine still holds; it lets go of them once they are kept. */
  keep(): void {
    const { configs } = this.stateMachine;
    const newest = configs.at(-1)?.sequence ?? 0;
    this.isOwing = false;
    if (newest <= this.history.newest) return this.terms.kept(this.history.newest);
    const { history } = this;
    const add = function* (): Task {
      yield* history.add(configs);
    };
    this.isKeeping = true;
    this.writer.attempt(add, (succeeded) => {
      this.isKeeping = false;
      this.isOwing = !succeeded;
      if (succeeded) this.terms.kept(newest);
      else this.boundUnkept();
    });
    this.writer.attempt(
      () => this.shrink(),
      () => undefined,
    );
  }

  /** One accepted config, from here or from another member. */
  *read(sequence: number): Task<ConfigRead> {
    const own =
      this.stateMachine.configs.find((config) => config.sequence === sequence) ??
      (yield* this.history.read(sequence));
    if (own) return { kind: "found", config: own };
    if (sequence <= this.goneUpTo) return { kind: "noLongerKept" };
    const { configs, isEveryVoterHeard } = yield* this.fetch(sequence);
    const [config] = configs;
    if (config) return { kind: "found", config };
    return { kind: isEveryVoterHeard ? "noLongerKept" : "unknown" };
  }

  private *pieceFrom(from: number): Task<DecodedMessage<typeof RpcMethod.history.response>> {
    if (!this.terms.isFormed()) return { configs: new Uint8Array() };
    const kept = yield* this.history.piece(from);
    if (kept.length > 0) return { configs: kept };
    const { configs } = this.stateMachine;
    const at = configs.findIndex(({ sequence }) => sequence === from);
    return { configs: at < 0 ? new Uint8Array() : ConfigHistory.pack(configs.slice(at)) };
  }

  /** Configs from one on, as another member holds them; followers are asked before the leader. */
  private *fetch(from: number): Task<Fetched> {
    const voters = this.terms.voters();
    const heard = new Set([this.rpc.self]);
    const asked = new Set([this.rpc.self, ""]);
    for (const peer of [...voters, ...this.terms.others()]) {
      if (asked.has(peer)) continue;
      asked.add(peer);
      if (this.isGone(peer)) continue;
      const ret = yield* this.rpc.call(peer, RpcMethod.history, { from }, askWaitMs);
      if (!ret) continue;
      heard.add(peer);
      const configs = ConfigHistory.unpack(ret.configs, from);
      if (configs.length > 0) return { configs, isEveryVoterHeard: false };
    }
    return { configs: [], isEveryVoterHeard: voters.every((voter) => heard.has(voter)) };
  }

  private isGone(peer: string): boolean {
    return this.rpc.isUnreachable(peer, this.runtime.clock.nowMs() - failedMs);
  }

  /** Learns some of the newest configs that are missing here, while there is room for them. */
  private *learn(): Task {
    const missing = this.missing();
    if (!missing) {
      if (this.isLacking)
        this.log.info("The history of configs is whole.", { newest: this.history.newest });
      this.isLacking = false;
      return;
    }
    this.isLacking = true;
    const { configs, isEveryVoterHeard } = yield* this.fetchOf(missing);
    if (configs.length > 0)
      yield* this.insert(configs.filter(({ sequence }) => sequence <= missing.to));
    else if (isEveryVoterHeard) this.goneUpTo = Math.max(this.goneUpTo, missing.to);
    this.noteMended();
  }

  /** Configs of a range: those of its last file from their first on, or from later on where others keep no older ones. */
  private *fetchOf({ from, to }: SequenceRange): Task<Fetched> {
    let first = Math.max(from, to - CONFIGS_PER_FILE + 1);
    for (;;) {
      const fetched = yield* this.fetch(first);
      if (fetched.configs.length > 0 || first === to) return fetched;
      first = Math.ceil((first + 1 + to) / 2);
    }
  }

  /** The newest range that is missing here and may be learned. */
  private missing(): SequenceRange | undefined {
    const first = this.stateMachine.configs[0]?.sequence ?? 1;
    const range = this.history.missingBelow(first);
    const floor = Math.max(this.goneUpTo, this.history.letGoUpTo);
    if (!range || range.to <= floor || !this.history.hasRoom) return undefined;
    return { from: Math.max(range.from, floor + 1), to: range.to };
  }

  private *insert(configs: AcceptedConfig[]): Task {
    const { history } = this;
    const add = function* (): Task {
      yield* history.add(configs);
    };
    yield* Task.wait<boolean>((done) => this.writer.attempt(add, done));
  }

  /** Measures files in the owner of the disk's turn, since damaged ones are cut. */
  private *check(): Task {
    const { history } = this;
    const found: SequenceRange[] = [];
    const check = function* (): Task {
      found.push(...(yield* history.check()));
    };
    yield* Task.wait<boolean>((done) => this.writer.attempt(check, done));
    for (const range of found) {
      this.log.warn("A file of the history is damaged; its configs are learned from the others.", {
        ...range,
      });
      this.damaged.push(range);
    }
    yield* Task.wait<boolean>((done) => this.writer.attempt(() => this.shrink(), done));
  }

  private noteMended(): void {
    const missing = this.history.missingBelow(this.stateMachine.configs[0]?.sequence ?? 1);
    const isWhole = ({ from }: SequenceRange): boolean => !missing || missing.to < from;
    for (const range of this.damaged.filter(isWhole))
      this.log.info("A damaged file of the history is whole again.", { ...range });
    this.damaged = this.damaged.filter((range) => !isWhole(range));
  }

  private *shrink(): Task {
    const removed = yield* this.history.shrink();
    if (removed)
      this.log.info("The oldest configs of the history are no longer kept.", { ...removed });
  }

  /** While the disk refuses the history, only so much text waits for it; beyond that only the newest config does. */
  private boundUnkept(): void {
    const { configs } = this.stateMachine;
    const bytes = configs.reduce((sum, { text }) => sum + text.length, 0);
    const upTo = configs.at(-2)?.sequence;
    if (bytes <= this.terms.unkeptBytes || upTo === undefined) return;
    this.log.warn("The disk doesn't take the history; configs are let go unkept.", { upTo });
    this.terms.kept(upTo);
  }
}
