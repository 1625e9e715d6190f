/** Clocks and timers. */
import {
  currentTime,
  delay,
  cancelTask,
  newClockTimer,
  newPlatformClock,
  newScheduler,
  newTimeline,
} from "@most/scheduler";
import type { Scheduler } from "@most/types";
import { Task } from "./task.js";

/** A machine's monotonic clock, in milliseconds. Its readings are never compared with another machine's. */
export interface Clock {
  readonly scheduler: Scheduler;
  nowMs(): number;
  /** Runs a function once after a time. Returns a function that cancels that. */
  after(waitMs: number, run: () => void): () => void;
}

/** Added to the due time: the scheduler runs what is due within a millisecond at its start, which would be early. */
const ROUNDING_MS = 0.001;

export const Clock = {
  /** The clock of a scheduler of streams. */
  of(scheduler: Scheduler): Clock {
    return {
      scheduler,
      nowMs: () => currentTime(scheduler),
      after(waitMs, run) {
        const nowMs = currentTime(scheduler);
        const dueMs = Math.ceil(nowMs + Math.max(0, waitMs)) + ROUNDING_MS;
        const scheduled = delay(
          dueMs - nowMs,
          {
            run,
            error(_time: number, error: Error) {
              throw error;
            },
            dispose() {},
          },
          scheduler,
        );
        return () => cancelTask(scheduled);
      },
    };
  },

  /** The clock of the machine this process runs on. */
  real(): Clock {
    return Clock.of(newScheduler(newClockTimer(newPlatformClock()), newTimeline()));
  },

  /** Suspends a task for a time. */
  *sleep(clock: Clock, waitMs: number): Task {
    yield* Task.wait<boolean>((done) => clock.after(waitMs, () => done(true)));
  },

  /** Waits for an outcome, at most `waitMs`; `undefined` where none came in time. */
  *withTimeout<T>(
    clock: Clock,
    waitMs: number,
    start: (done: (outcome: T) => void) => void,
  ): Task<T | undefined> {
    return yield* Task.wait<T | undefined>((done) => {
      const cancel = clock.after(waitMs, () => done(undefined));
      start((outcome) => {
        cancel();
        done(outcome);
      });
    });
  },
};
