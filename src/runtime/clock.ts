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

/** A machine's monotonic clock. Its readings are never compared with another machine's. */
export interface Clock {
  readonly scheduler: Scheduler;
  nowMs(): number;
  after(waitMs: number, run: () => void): () => void;
}

// The scheduler runs what falls due within a millisecond at its start, which would be early.
const roundingMs = 0.001;

export const Clock = {
  /** The clock that a scheduler of streams keeps. */
  of(scheduler: Scheduler): Clock {
    return {
      scheduler,
      nowMs: () => currentTime(scheduler),
      after(waitMs, run) {
        const nowMs = currentTime(scheduler);
        const dueMs = Math.ceil(nowMs + Math.max(0, waitMs)) + roundingMs;
        const planned = delay(
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
        return () => cancelTask(planned);
      },
    };
  },

  /** The clock of the machine this process runs on. */
  real(): Clock {
    return Clock.of(newScheduler(newClockTimer(newPlatformClock()), newTimeline()));
  },

  /** Lets a task rest. */
  *sleep(clock: Clock, waitMs: number): Task {
    yield* Task.wait<boolean>((done) => clock.after(waitMs, () => done(true)));
  },

  /** Waits for an outcome, at most `waitMs`; `undefined` once that is over. */
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
