import { runEffects, tap } from "@most/core";
import type { Stream } from "@most/types";
import type { Clock } from "./clock.js";
import { Task } from "./task.js";

/** A queue of commands in front of the one owner of a table. */
export class Queue<T> {
  private readonly held: T[] = [];
  private takers: Array<(item: T) => boolean> = [];

  get size(): number {
    return this.held.length;
  }

  put(item: T): void {
    for (let taker = this.takers.shift(); taker !== undefined; taker = this.takers.shift()) {
      if (taker(item)) return;
    }
    this.held.push(item);
  }

  /** Puts a command unless one is held already, where one says as much as many. */
  putOnce(item: T): void {
    if (this.held.length === 0) this.put(item);
  }

  /** All that is held now, without waiting. */
  drain(): T[] {
    return this.held.splice(0);
  }

  /** Waits for the next command. */
  *take(): Task<T> {
    return yield* Task.wait<T>((done) => this.begin(done));
  }

  /** Waits for the next command until a moment of the clock; `undefined` when none came. */
  *takeUntil(clock: Clock, untilMs: number): Task<T | undefined> {
    return yield* Task.wait<T | undefined>((done) => {
      let open = true;
      const cancel = clock.after(untilMs - clock.nowMs(), () => {
        open = false;
        done(undefined);
      });
      this.begin(
        (item) => {
          cancel();
          done(item);
        },
        () => open,
      );
    });
  }

  /** Feeds the queue from a stream until the stream ends. */
  feed(stream: Stream<T>, clock: Clock): void {
    void runEffects(
      tap((item) => this.put(item), stream),
      clock.scheduler,
    );
  }

  private begin(done: (item: T) => void, open: () => boolean = () => true): void {
    const [first] = this.held.splice(0, 1);
    if (first !== undefined) {
      done(first);
      return;
    }
    this.takers.push((item) => {
      if (!open()) return false;
      done(item);
      return true;
    });
  }
}
