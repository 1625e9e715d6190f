import { expect, test } from "vitest";
import { Task } from "../../src/runtime/task.js";

test("a task resumes with its first outcome, also if that is there at once", () => {
  const seen: number[] = [];
  const later: Array<(outcome: number) => void> = [];
  Task.start(
    (function* () {
      seen.push(yield* Task.wait<number>((done) => done(1)));
      seen.push(yield* Task.wait<number>((done) => later.push(done)));
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
