/** Owns a member's disk: performs writes one at a time, with many records in one sync, and retries failed writes. */
import type { LogRecord } from "../../consensus/log-record.js";
import { type Clock, sleep } from "../../runtime/clock.js";
import { DiskError } from "../../runtime/disk.js";
import type { Logger } from "../../runtime/logger.js";
import { Queue } from "../../runtime/queue.js";
import type { Task } from "../../runtime/task.js";
import { DiskReclaimer } from "./disk-reclaimer.js";
import type { DurableState } from "./durable-state.js";
import type { LogStore } from "./log-store.js";

/** A request to append records to the log. */
interface AppendRequest {
  readonly kind: "append";
  readonly records: readonly LogRecord[];
  readonly onDone: () => void;
}

type WriteRequest =
  | AppendRequest
  | { readonly kind: "snapshot"; readonly state: DurableState; readonly onDone: () => void }
  | {
      readonly kind: "attempt";
      readonly write: () => Task;
      readonly onDone: (succeeded: boolean) => void;
    };

/** Interval between two attempts of a failing write, in ms. */
const RETRY_INTERVAL_MS = 200;

/** Writes to a log store in the order of the requests. */
export class LogWriter {
  private readonly clock: Clock;
  private readonly store: LogStore;
  private readonly log: Logger;
  private readonly queue = new Queue<WriteRequest>();
  private readonly reclaimer: DiskReclaimer;
  private busySinceMs: number | undefined;
  private lastFailure: string | undefined;
  private syncCount = 0;
  private recordCount = 0;

  constructor(clock: Clock, store: LogStore, log: Logger) {
    this.clock = clock;
    this.store = store;
    this.log = log;
    this.reclaimer = new DiskReclaimer(clock, store.history, log);
  }

  /** The error with which the disk currently refuses writes; `undefined` if it accepts them. */
  get failure(): string | undefined {
    return this.lastFailure;
  }

  /** The number of requests that wait for the one in progress. */
  get queuedRequests(): number {
    return this.queue.size;
  }

  /** The number of completed syncs. */
  get completedSyncs(): number {
    return this.syncCount;
  }

  /** The number of written records. */
  get writtenRecords(): number {
    return this.recordCount;
  }

  /** How long the current batch of writes has taken so far, in ms; 0 if none is in progress. */
  get waitingMs(): number {
    return this.busySinceMs === undefined ? 0 : this.clock.nowMs() - this.busySinceMs;
  }

  /** The size of the log after the newest snapshot, in bytes. */
  get logBytes(): number {
    return this.store.logBytes;
  }

  /** Appends records; `onDone` is called once they are durable. */
  append(records: readonly LogRecord[], onDone: () => void): void {
    this.queue.put({ kind: "append", records, onDone });
  }

  /** Writes a durable state as a snapshot; `onDone` is called once it is durable. */
  writeSnapshot(state: DurableState, onDone: () => void): void {
    this.queue.put({ kind: "snapshot", state, onDone });
  }

  /** Makes one attempt of a write that may fail without consequence; `onDone` receives whether it succeeded. */
  attempt(write: () => Task, onDone: (succeeded: boolean) => void): void {
    this.queue.put({ kind: "attempt", write, onDone });
  }

  /** Processes requests as long as the daemon runs. */
  *run(): Task {
    for (;;) {
      const first = yield* this.queue.take();
      this.busySinceMs = this.clock.nowMs();
      let appends: AppendRequest[] = [];
      for (const request of [first, ...this.queue.drain()]) {
        if (request.kind === "append") {
          appends.push(request);
          continue;
        }
        yield* this.appendAll(appends);
        appends = [];
        if (request.kind === "attempt") request.onDone(yield* this.tryOnce(request.write));
        else {
          yield* this.persist(() => this.store.writeSnapshot(request.state));
          request.onDone();
        }
      }
      yield* this.appendAll(appends);
      this.busySinceMs = undefined;
    }
  }

  /** Retries a write until it succeeds. */
  *persist(write: () => Task): Task {
    for (;;) {
      try {
        yield* write();
        this.onSuccess();
        return;
      } catch (error) {
        if (!(error instanceof DiskError)) throw error;
        if (yield* this.reclaimer.onWriteRefused()) continue;
        this.onFailure(error);
        yield* sleep(this.clock, RETRY_INTERVAL_MS);
      }
    }
  }

  /** Makes one attempt of a write. Nothing depends on it, so its failure isn't reported as a disk failure. */
  private *tryOnce(write: () => Task): Task<boolean> {
    try {
      yield* write();
      return true;
    } catch (error) {
      if (!(error instanceof DiskError)) throw error;
      yield* this.reclaimer.onWriteRefused();
      return false;
    }
  }

  private *appendAll(requests: readonly AppendRequest[]): Task {
    const records = requests.flatMap((request) => request.records);
    if (records.length > 0) yield* this.persist(() => this.store.append(records));
    this.recordCount += records.length;
    for (const { onDone } of requests) onDone();
  }

  private onSuccess(): void {
    this.syncCount += 1;
    if (this.lastFailure !== undefined) this.log.info("disk writes recovered");
    this.lastFailure = undefined;
    this.reclaimer.onWriteAccepted();
  }

  private onFailure(error: DiskError): void {
    const why = error.cause instanceof Error ? error.cause.message : error.message;
    if (this.lastFailure === undefined) this.log.warn("disk write failed", { why });
    this.lastFailure = why;
  }
}
