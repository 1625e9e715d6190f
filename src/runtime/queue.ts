/** Queues between tasks. */
import { runEffects, tap } from "@most/core";
import type { Stream } from "@most/types";
import type { Clock } from "./clock.js";
import { type Task, waitFor } from "./task.js";

/** An unbounded queue: an item goes to the first waiting taker, or is retained for the next one. */
export class Queue<T> {
  private readonly items: T[] = [];
  /** The takers that wait for an item, the first of them first. */
  private readonly takers = new Set<(item: T) => void>();

  /** Number of items in the queue. */
  get size(): number {
    return this.items.length;
  }

  /** Number of takers that wait for an item. */
  get waitingTakers(): number {
    return this.takers.size;
  }

  /** Adds an item. */
  put(item: T): void {
    const [taker] = this.takers;
    if (!taker) {
      this.items.push(item);
      return;
    }
    this.takers.delete(taker);
    taker(item);
  }

  /** Adds an item only if the queue is empty, for signals of which one is as good as several. */
  putIfEmpty(item: T): void {
    if (this.items.length === 0) this.put(item);
  }

  /** Takes all items without waiting. */
  drain(): T[] {
    return this.items.splice(0);
  }

  /** Waits for the next item. */
  *take(): Task<T> {
    return yield* waitFor<T>((done) => {
      if (!this.passFirst(done)) this.takers.add(done);
    });
  }

  /** Waits for the next item until the clock reads `untilMs`; `undefined` without one. */
  *takeUntil(clock: Clock, untilMs: number): Task<T | undefined> {
    return yield* waitFor<T | undefined>((done) => {
      if (this.passFirst(done)) return;
      const taker = (item: T): void => {
        cancel();
        done(item);
      };
      const cancel = clock.after(untilMs - clock.nowMs(), () => {
        this.takers.delete(taker);
        done(undefined);
      });
      this.takers.add(taker);
    });
  }

  /** Adds the items of a stream until it ends. */
  feed(stream: Stream<T>, clock: Clock): void {
    void runEffects(
      tap((item) => this.put(item), stream),
      clock.scheduler,
    );
  }

  /** Passes the first item to `done`, if there is one. */
  private passFirst(done: (item: T) => void): boolean {
    const [first] = this.items.splice(0, 1);
    if (first === undefined) return false;
    done(first);
    return true;
  }
}
