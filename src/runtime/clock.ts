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

/** A machine's monotonic clock, in milliseconds. Its readings are never compared with another machine's. */
export interface Clock {
  readonly scheduler: Scheduler;
  nowMs(): number;
  /** Runs a function once after a time. Returns a function that cancels that. */
  after(waitMs: number, run: () => void): () => void;
}

/** Added to the due time: the scheduler runs what is due within a millisecond at its start, which would be early. */
const ROUNDING_MS = 0.001;

/** The clock of a scheduler of streams. */
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

/** The clock of the machine this process runs on. */
export function systemClock(): Clock {
  return createClock(newScheduler(newClockTimer(newPlatformClock()), newTimeline()));
}

/** Suspends a task for a time. */
export function* sleep(clock: Clock, waitMs: number): Task {
  yield* waitFor<boolean>((done) => clock.after(waitMs, () => done(true)));
}

/** Waits for an outcome, at most `waitMs`; `undefined` where none came in time. */
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
