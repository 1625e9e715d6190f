import { Clock } from "../runtime/clock.js";
import { DiskBreakdown } from "../runtime/disk.js";
import { Holding } from "../runtime/holding.js";
import type { PartLog } from "../runtime/logbook.js";
import { Task } from "../runtime/task.js";
import type { AcceptedConfig } from "./book.js";
import type { LogRecord, Standing, Store } from "./store.js";

type Order =
  | { records: LogRecord[]; done: () => void }
  | { standing: Standing; done: () => void }
  | { configs: AcceptedConfig[]; file: number | undefined; done: () => void };

const retryMs = 200;

/** The owner of a recorder's disk: writes in order, many changes in one sync, and tries again after a breakdown. */
export class Writer {
  private readonly clock: Clock;
  private readonly store: Store;
  private readonly log: PartLog;
  private readonly holding = new Holding<Order>();
  private sinceMs: number | undefined;
  /** Why the disk takes nothing now, or nothing. */
  breakdown: string | undefined;
  /** How many syncs have ended, and how many changes they carried. */
  syncs = 0;
  written = 0;

  constructor(clock: Clock, store: Store, log: PartLog) {
    this.clock = clock;
    this.store = store;
    this.log = log;
  }

  /** How long the oldest write has been waiting. */
  get waitingMs(): number {
    return this.sinceMs === undefined ? 0 : this.clock.nowMs() - this.sinceMs;
  }

  get addedBytes(): number {
    return this.store.addedBytes;
  }

  append(records: LogRecord[], done: () => void): void {
    this.holding.put({ records, done });
  }

  checkpoint(standing: Standing, done: () => void): void {
    this.holding.put({ standing, done });
  }

  /** Has the history keep configs, or write a damaged file of it anew. */
  keep(configs: AcceptedConfig[], done: () => void, file?: number): void {
    this.holding.put({ configs, file, done });
  }

  *own(): Task {
    for (;;) {
      const first = yield* this.holding.take();
      this.sinceMs = this.clock.nowMs();
      let group: Array<{ records: LogRecord[]; done: () => void }> = [];
      for (const order of [first, ...this.holding.drain()]) {
        if ("records" in order) group.push(order);
        else {
          yield* this.appendGroup(group);
          group = [];
          yield* this.persist(() => this.work(order));
          order.done();
        }
      }
      yield* this.appendGroup(group);
      this.sinceMs = undefined;
    }
  }

  private work(order: Exclude<Order, { records: LogRecord[] }>): Task {
    if ("standing" in order) return this.store.checkpoint(order.standing);
    return order.file === undefined
      ? this.store.history.append(order.configs)
      : this.store.history.mend(order.file, order.configs);
  }

  private *appendGroup(group: Array<{ records: LogRecord[]; done: () => void }>): Task {
    const records = group.flatMap((order) => order.records);
    if (records.length > 0) yield* this.persist(() => this.store.append(records));
    this.written += records.length;
    for (const order of group) order.done();
  }

  /** Does a piece of work on the disk, again and again until it is done. */
  *persist(write: () => Task): Task {
    for (;;) {
      try {
        yield* write();
        this.syncs += 1;
        if (this.breakdown !== undefined) this.log.say("The disk takes writes again.");
        this.breakdown = undefined;
        return;
      } catch (error) {
        if (!(error instanceof DiskBreakdown)) throw error;
        const why = error.cause instanceof Error ? error.cause.message : error.message;
        if (this.breakdown === undefined)
          this.log.warn("The disk takes no writes; nothing is acknowledged.", { why });
        this.breakdown = why;
        yield* Clock.rest(this.clock, retryMs);
      }
    }
  }
}
