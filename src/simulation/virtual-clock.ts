import { newScheduler, newTimeline } from "@most/scheduler";
import type { Scheduler } from "@most/types";
import { type Clock, createClock } from "../runtime/clock.js";

/** Time that moves only when told to; the streams' scheduler runs on it. */
export class VirtualClock {
  readonly scheduler: Scheduler;
  private currentMs = 0;
  private due: { currentMs: number; run: () => unknown } | undefined;

  constructor() {
    this.scheduler = newScheduler(
      {
        now: () => this.currentMs,
        setTimer: (run, waitMs) => {
          const timer = { currentMs: this.currentMs + Math.max(0, waitMs), run };
          this.due = timer;
          return timer;
        },
        clearTimer: (timer) => {
          if (this.due === timer) this.due = undefined;
        },
      },
      newTimeline(),
    );
  }

  nowMs(): number {
    return this.currentMs;
  }

  /** A machine's clock: skewed by an offset and running at a rate of its own; silent once `alive` says no. */
  clock(offsetMs = 0, rate = 1, alive: () => boolean = () => true): Clock {
    const base = createClock(this.scheduler);
    return {
      scheduler: this.scheduler,
      nowMs: () => offsetMs + this.currentMs * rate,
      after: (waitMs, run) =>
        base.after(waitMs / rate, () => {
          if (alive()) run();
        }),
    };
  }

  /** Moves time on, running all that falls due. */
  runUntil(untilMs: number): void {
    for (
      let timer = this.due;
      timer !== undefined && timer.currentMs <= untilMs;
      timer = this.due
    ) {
      this.due = undefined;
      this.currentMs = Math.max(this.currentMs, timer.currentMs);
      timer.run();
    }
    this.currentMs = Math.max(this.currentMs, untilMs);
  }
}
