import { Clock } from "../../runtime/clock.js";
import { DiskError } from "../../runtime/disk.js";
import { Queue } from "../../runtime/queue.js";
import type { Logger } from "../../runtime/logger.js";
import { Task } from "../../runtime/task.js";
import { DiskReclaimer } from "./disk-reclaimer.js";
import type { LogRecord } from "../../consensus/log-record.js";
import type { DurableState, LogStore } from "./log-store.js";

type Order =
  | { records: LogRecord[]; done: () => void }
  | { standing: DurableState; done: () => void }
  | { attempt: () => Task; done: (succeeded: boolean) => void };

const retryMs = 200;

/** The owner of a recorder's disk: writes in order, many changes in one sync, and tries again after a breakdown. */
export class LogWriter {
  private readonly clock: Clock;
  private readonly store: LogStore;
  private readonly log: Logger;
  private readonly queue = new Queue<Order>();
  private readonly roomMaker: DiskReclaimer;
  private sinceMs: number | undefined;
  /** Why the disk takes nothing now, or nothing. */
  failure: string | undefined;
  /** How many syncs have ended, and how many changes they carried. */
  syncs = 0;
  written = 0;

  constructor(clock: Clock, store: LogStore, log: Logger) {
    this.clock = clock;
    this.store = store;
    this.log = log;
    this.roomMaker = new DiskReclaimer(clock, store.history, log);
  }

  /** How long the oldest write has been waiting. */
  get waitingMs(): number {
    return this.sinceMs === undefined ? 0 : this.clock.nowMs() - this.sinceMs;
  }

  get addedBytes(): number {
    return this.store.addedBytes;
  }

  append(records: LogRecord[], done: () => void): void {
    this.queue.put({ records, done });
  }

  writeSnapshot(durableState: DurableState, done: () => void): void {
    this.queue.put({ standing: durableState, done });
  }

  /** Does what may fail without consequence, once, in its turn; tells whether the disk took it. */
  attempt(attempt: () => Task, done: (succeeded: boolean) => void): void {
    this.queue.put({ attempt, done });
  }

  *run(): Task {
    for (;;) {
      const first = yield* this.queue.take();
      this.sinceMs = this.clock.nowMs();
      let group: Array<{ records: LogRecord[]; done: () => void }> = [];
      for (const command of [first, ...this.queue.drain()]) {
        if ("records" in command) group.push(command);
        else {
          yield* this.appendGroup(group);
          group = [];
          if ("attempt" in command) command.done(yield* this.tryOnce(command.attempt));
          else {
            yield* this.persist(() => this.store.writeSnapshot(command.standing));
            command.done();
          }
        }
      }
      yield* this.appendGroup(group);
      this.sinceMs = undefined;
    }
  }

  /** Nobody waits for such a write, so that a disk that refuses it is not told as one that takes nothing. */
  private *tryOnce(write: () => Task): Task<boolean> {
    try {
      yield* write();
      return true;
    } catch (error) {
      if (!(error instanceof DiskError)) throw error;
      yield* this.roomMaker.refused();
      return false;
    }
  }

  private *appendGroup(group: Array<{ records: LogRecord[]; done: () => void }>): Task {
    const records = group.flatMap((command) => command.records);
    if (records.length > 0) yield* this.persist(() => this.store.append(records));
    this.written += records.length;
    for (const command of group) command.done();
  }

  /** Does a piece of work on the disk, again and again until it is done. */
  *persist(write: () => Task): Task {
    for (;;) {
      try {
        yield* write();
        this.syncs += 1;
        if (this.failure !== undefined) this.log.info("The disk takes writes again.");
        this.failure = undefined;
        this.roomMaker.accepted();
        return;
      } catch (error) {
        if (!(error instanceof DiskError)) throw error;
        if (yield* this.roomMaker.refused()) continue;
        const why = error.cause instanceof Error ? error.cause.message : error.message;
        if (this.failure === undefined)
          this.log.warn("The disk takes no writes; nothing is acknowledged.", { why });
        this.failure = why;
        yield* Clock.sleep(this.clock, retryMs);
      }
    }
  }
}
