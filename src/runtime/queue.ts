/** Queues between tasks. */
import { runEffects, tap } from "@most/core";
import type { Stream } from "@most/types";
import type { Clock } from "./clock.js";
import { type Task, waitFor } from "./task.js";

/** An unbounded queue: items go to the takers that wait, in order, or are retained for the next ones. */
export class Queue<T> {
  private readonly items: T[] = [];
  private takers: Array<(item: T) => boolean> = [];

  /** How many items are in the queue. */
  get size(): number {
    return this.items.length;
  }

  /** Adds an item. */
  put(item: T): void {
    for (let taker = this.takers.shift(); taker !== undefined; taker = this.takers.shift()) {
      if (taker(item)) return;
    }
    this.items.push(item);
  }

  /** Adds an item unless the queue has one already, where one says as much as many. */
  putIfEmpty(item: T): void {
    if (this.items.length === 0) this.put(item);
  }

  /** Takes all items, without waiting. */
  drain(): T[] {
    return this.items.splice(0);
  }

  /** Waits for the next item. */
  *take(): Task<T> {
    return yield* waitFor<T>((done) => this.begin(done));
  }

  /** Waits for the next item until a moment of the clock; `undefined` where none came. */
  *takeUntil(clock: Clock, untilMs: number): Task<T | undefined> {
    return yield* waitFor<T | undefined>((done) => {
      let isWaiting = true;
      const cancel = clock.after(untilMs - clock.nowMs(), () => {
        isWaiting = false;
        done(undefined);
      });
      this.begin(
        (item) => {
          cancel();
          done(item);
        },
        () => isWaiting,
      );
    });
  }

  /** Adds the items of a stream until that ends. */
  feed(stream: Stream<T>, clock: Clock): void {
    void runEffects(
      tap((item) => this.put(item), stream),
      clock.scheduler,
    );
  }

  /** Hands the next item to `done`, if the taker is still waiting by then. */
  private begin(done: (item: T) => void, isWaiting: () => boolean = () => true): void {
    const [first] = this.items.splice(0, 1);
    if (first !== undefined) {
      done(first);
      return;
    }
    this.takers.push((item) => {
      if (!isWaiting()) return false;
      done(item);
      return true;
    });
  }
}
