import fc from "fast-check";
import { expect, test } from "vitest";
import { findContradiction } from "../../src/model-checker/history/linearizability.js";
import type { Operation } from "../../src/model-checker/history/operation.js";

const write = (value: number, beganAt: number, endedAt?: number): Operation => ({
  kind: "write",
  value,
  beganAt,
  endedAt,
});
const read = (value: number, beganAt: number, endedAt: number): Operation => ({
  kind: "read",
  value,
  beganAt,
  endedAt,
});

test.each<[what: string, operations: Operation[]]>([
  ["nothing", []],
  ["a read of the initial value", [read(0, 1, 2)]],
  ["a read during a write gives the new value", [write(1, 1, 4), read(1, 2, 3)]],
  ["a read during a write gives the old value", [write(1, 1, 4), read(0, 2, 3)]],
  ["a write without an answer that is read later", [write(1, 1), read(1, 5, 6)]],
  ["a write without an answer that is never read", [write(1, 1), read(0, 5, 6)]],
  ["two writes at once, read in either order", [write(1, 1, 5), write(2, 2, 6), read(1, 7, 8)]],
])("linearizable: %s", (_, operations) => {
  expect(findContradiction(operations, 0)).toBeUndefined();
});

test.each<[what: string, operations: Operation[], why: string]>([
  [
    "a read older than an acknowledged write",
    [write(1, 1, 2), read(0, 3, 4)],
    "0 and 1 were both in force at one time",
  ],
  [
    "an older value after a newer one was read",
    [write(1, 1, 2), write(2, 3), read(2, 4, 5), read(1, 6, 7)],
    "1 and 2 were both in force at one time",
  ],
  ["a value that nobody wrote", [read(7, 1, 2)], "a read gave what nobody wrote"],
  [
    "a value that was written later",
    [read(1, 1, 2), write(1, 3, 4)],
    "a read gave what was written later",
  ],
])("not linearizable: %s", (_, operations, why) => {
  expect(findContradiction(operations, 0)?.reason).toBe(why);
});

/** Whether some order of the calls explains them, by trying all orders. */
const isLinearizable = (left: readonly Operation[], value: number): boolean => {
  if (left.every(({ endedAt }) => endedAt === undefined)) return true;
  const firstEnd = Math.min(...left.map(({ endedAt }) => endedAt ?? Infinity));
  return left.some((operation, at) => {
    if (operation.beganAt > firstEnd) return false;
    if (operation.kind === "read" && operation.value !== value) return false;
    return isLinearizable(
      left.filter((__, other) => other !== at),
      operation.value,
    );
  });
};

test("the checker says the same as the search through all orders, on any short history", () => {
  const call = fc.record({
    isRead: fc.boolean(),
    value: fc.nat(3),
    from: fc.nat(20),
    length: fc.integer({ min: 1, max: 12 }),
    isOpen: fc.boolean(),
  });
  fc.assert(
    fc.property(fc.array(call, { maxLength: 7 }), (calls) => {
      const operations = calls.map(({ isRead, value, from, length, isOpen }, at): Operation => {
        const beganAt = from + at / 100;
        const endedAt = from + length + 0.5 + at / 100;
        if (isRead) return read(value, beganAt, endedAt);
        return write(10 + at, beganAt, isOpen ? undefined : endedAt);
      });
      const written = operations.filter(({ kind }) => kind === "write");
      const history = operations.map((operation) => {
        if (operation.kind === "write") return operation;
        const source = written[operation.value];
        return { ...operation, value: source?.value ?? 0 };
      });
      expect(findContradiction(history, 0) === undefined).toBe(isLinearizable(history, 0));
    }),
    { seed: 17, numRuns: 3000 },
  );
});
