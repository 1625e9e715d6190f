import { expect, test } from "vitest";
import { runTask, waitFor } from "../../src/runtime/task.js";

test("a task resumes with its first outcome, also if that is there at once", () => {
  const seen: number[] = [];
  const later: Array<(outcome: number) => void> = [];
  runTask(
    (function* () {
      seen.push(yield* waitFor<number>((done) => done(1)));
      seen.push(yield* waitFor<number>((done) => later.push(done)));
    })(),
    (error) => {
      throw error;
    },
    () => seen.push(3),
  );
  expect(seen).toEqual([1]);
  later[0]?.(2);
  later[0]?.(9);
  expect(seen).toEqual([1, 2, 3]);
});
