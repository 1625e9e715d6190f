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
import { type Task, waitFor } from "./task.js";

/** A machine's monotonic clock, in milliseconds. Its readings are never compared with those of other machines. */
export interface Clock {
  readonly scheduler: Scheduler;
  nowMs(): number;
  /** Calls a function once after `waitMs`. Returns a function that cancels the call. */
  after(waitMs: number, run: () => void): () => void;
}

/** Added to the due time, since the scheduler runs a task at the start of the millisecond in which it is due, which would be too early. */
const ROUNDING_MS = 0.001;

/** Creates a clock on a stream scheduler. */
export function createClock(scheduler: Scheduler): Clock {
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
}

/** Creates a clock on the system time of this machine. */
export function systemClock(): Clock {
  return createClock(newScheduler(newClockTimer(newPlatformClock()), newTimeline()));
}

/** Suspends a task for `waitMs`. */
export function* sleep(clock: Clock, waitMs: number): Task {
  yield* waitFor<boolean>((done) => clock.after(waitMs, () => done(true)));
}

/** Waits for an outcome; `undefined` after `waitMs` without one. */
export function* withTimeout<T>(
  clock: Clock,
  waitMs: number,
  start: (done: (outcome: T) => void) => void,
): Task<T | undefined> {
  return yield* waitFor<T | undefined>((done) => {
    const cancel = clock.after(waitMs, () => done(undefined));
    start((outcome) => {
      cancel();
      done(outcome);
    });
  });
}
