/** What a task yields: it is handed the way to resume the task, and calls it once when the wish is fulfilled. */
export type Suspension = (resume: () => void) => void;

/** A state machine written straight down: one for each connection, each peer and each table's owner. */
export type Task<T = void> = Generator<Suspension, T, void>;

/** Raised when a wish resumes its task without saying what happened. */
export class MissingOutcomeError extends Error {}

export const Task = {
  /** Waits for one outcome of something started now. */
  *wait<T>(start: (done: (outcome: T) => void) => void): Task<T> {
    const outcomes: T[] = [];
    yield (resume) =>
      start((outcome) => {
        if (outcomes.length > 0) return;
        outcomes.push(outcome);
        resume();
      });
    for (const outcome of outcomes) return outcome;
    throw new MissingOutcomeError("A wish ended without an outcome.");
  },

  /** Runs a task to its end; `ended` hears its value, `failed` what it threw. */
  start<T>(task: Task<T>, failed: (error: unknown) => void, ended?: (value: T) => void): void {
    let running = false;
    let owed = 0;
    const step = (): void => {
      owed += 1;
      if (running) return;
      running = true;
      try {
        while (owed > 0) {
          owed -= 1;
          const next = task.next();
          if (next.done === true) {
            ended?.(next.value);
            return;
          }
          next.value(step);
        }
      } catch (error) {
        failed(error);
      } finally {
        running = false;
      }
    };
    step();
  },

  /** Waits for a promise; a rejection comes back as its error. */
  *fromPromise<T>(promise: Promise<T>): Task<{ value: T } | { error: unknown }> {
    return yield* Task.wait<{ value: T } | { error: unknown }>((done) => {
      promise.then(
        (value) => done({ value }),
        (error: unknown) => done({ error }),
      );
    });
  },

  /** Lets go of the task until the holders of `begin` have all ended. */
  *all(start: (task: Task) => void, tasks: Task[]): Task {
    let left = tasks.length;
    if (left === 0) return;
    yield* Task.wait<boolean>((done) => {
      for (const task of tasks) {
        start(
          (function* () {
            try {
              yield* task;
            } finally {
              left -= 1;
              if (left === 0) done(true);
            }
          })(),
        );
      }
    });
  },
};
