/** Cooperative tasks as generators, which run in a deterministic order. */

/** What a task yields: a function that receives `resume`, and calls it once the awaited outcome is available. */
export type Suspension = (resume: () => void) => void;

/** A task: a generator that suspends itself at each yield and returns its value. */
export type Task<T = void> = Generator<Suspension, T, void>;

/** Thrown when a task is resumed without an outcome. */
export class MissingOutcomeError extends Error {}

/** Calls `start` and waits for the first outcome that it passes to `done`. */
export function* waitFor<T>(start: (done: (outcome: T) => void) => void): Task<T> {
  const outcomes: T[] = [];
  yield (resume) =>
    start((outcome) => {
      if (outcomes.length > 0) return;
      outcomes.push(outcome);
      resume();
    });
  for (const outcome of outcomes) return outcome;
  throw new MissingOutcomeError("task resumed without an outcome");
}

/** Runs a task to its end; calls `onDone` with its value, or `onError` with the error that it threw. */
export function runTask<T>(
  task: Task<T>,
  onError: (error: unknown) => void,
  onDone?: (value: T) => void,
): void {
  let isRunning = false;
  let pendingSteps = 0;
  const step = (): void => {
    pendingSteps += 1;
    if (isRunning) return;
    isRunning = true;
    try {
      while (pendingSteps > 0) {
        pendingSteps -= 1;
        const next = task.next();
        if (next.done === true) {
          onDone?.(next.value);
          return;
        }
        next.value(step);
      }
    } catch (error) {
      onError(error);
    } finally {
      isRunning = false;
    }
  };
  step();
}

/** Waits for a promise; a rejection is returned as its error. */
export function* fromPromise<T>(promise: Promise<T>): Task<{ value: T } | { error: unknown }> {
  return yield* waitFor<{ value: T } | { error: unknown }>((done) => {
    promise.then(
      (value) => done({ value }),
      (error: unknown) => done({ error }),
    );
  });
}

/** Passes each task to `start`, and waits until all have ended. */
export function* runAll(start: (task: Task) => void, tasks: Task[]): Task {
  let remaining = tasks.length;
  if (remaining === 0) return;
  yield* waitFor<boolean>((done) => {
    for (const task of tasks) {
      start(
        (function* () {
          try {
            yield* task;
          } finally {
            remaining -= 1;
            if (remaining === 0) done(true);
          }
        })(),
      );
    }
  });
}
