import { newScheduler, newTimeline } from "@most/scheduler";
import type { Scheduler } from "@most/types";
import { type Clock, createClock } from "../runtime/clock.js";

/** Virtual time, which advances only through `runUntil`. It drives the scheduler of the event streams. */
export class VirtualClock {
  readonly scheduler: Scheduler;
  private currentMs = 0;
  private pendingTimer: { dueMs: number; run: () => unknown } | undefined;

  constructor() {
    this.scheduler = newScheduler(
      {
        now: () => this.currentMs,
        setTimer: (run, waitMs) => {
          const timer = { dueMs: this.currentMs + Math.max(0, waitMs), run };
          this.pendingTimer = timer;
          return timer;
        },
        clearTimer: (timer) => {
          if (this.pendingTimer === timer) this.pendingTimer = undefined;
        },
      },
      newTimeline(),
    );
  }

  nowMs(): number {
    return this.currentMs;
  }

  /** Creates a machine's clock, with an offset and a rate of its own; its timers are dropped once `isAlive` returns false. */
  clock(offsetMs = 0, rate = 1, isAlive: () => boolean = () => true): Clock {
    const base = createClock(this.scheduler);
    return {
      scheduler: this.scheduler,
      nowMs: () => offsetMs + this.currentMs * rate,
      after: (waitMs, run) =>
        base.after(waitMs / rate, () => {
          if (isAlive()) run();
        }),
    };
  }

  /** Advances the time and runs all timers that become due. */
  runUntil(untilMs: number): void {
    for (
      let timer = this.pendingTimer;
      timer !== undefined && timer.dueMs <= untilMs;
      timer = this.pendingTimer
    ) {
      this.pendingTimer = undefined;
      this.currentMs = Math.max(this.currentMs, timer.dueMs);
      timer.run();
    }
    this.currentMs = Math.max(this.currentMs, untilMs);
  }
}
