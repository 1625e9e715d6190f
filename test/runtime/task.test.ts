import { expect, test } from "vitest";
import { runTask, waitFor } from "../../src/runtime/task.js";

test("a task resumes with its first outcome, also if it is available immediately", () => {
  const received: number[] = [];
  const callbacks: Array<(outcome: number) => void> = [];
  runTask(
    (function* () {
      received.push(yield* waitFor<number>((done) => done(1)));
      received.push(yield* waitFor<number>((done) => callbacks.push(done)));
    })(),
    (error) => {
      throw error;
    },
    () => received.push(3),
  );
  expect(received).toEqual([1]);
  callbacks[0]?.(2);
  callbacks[0]?.(9);
  expect(received).toEqual([1, 2, 3]);
});
