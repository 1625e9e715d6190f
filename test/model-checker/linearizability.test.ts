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

test.each<[description: string, operations: Operation[]]>([
  ["an empty history", []],
  ["a read of the initial value", [read(0, 1, 2)]],
  ["a read during a write returns the new value", [write(1, 1, 4), read(1, 2, 3)]],
  ["a read during a write returns the old value", [write(1, 1, 4), read(0, 2, 3)]],
  ["an unacknowledged write that is read later", [write(1, 1), read(1, 5, 6)]],
  ["an unacknowledged write that is never read", [write(1, 1), read(0, 5, 6)]],
  ["two concurrent writes, read in either order", [write(1, 1, 5), write(2, 2, 6), read(1, 7, 8)]],
])("linearizable: %s", (_, operations) => {
  expect(findContradiction(operations, 0)).toBeUndefined();
});

test.each<[description: string, operations: Operation[], why: string]>([
  [
    "a read that misses an acknowledged write",
    [write(1, 1, 2), read(0, 3, 4)],
    "values 0 and 1 were current at the same time",
  ],
  [
    "a read of an older value after a newer value was read",
    [write(1, 1, 2), write(2, 3), read(2, 4, 5), read(1, 6, 7)],
    "values 1 and 2 were current at the same time",
  ],
  [
    "a read of a value that was never written",
    [read(7, 1, 2)],
    "a read returned a value that was never written",
  ],
  [
    "a read of a value that was written later",
    [read(1, 1, 2), write(1, 3, 4)],
    "a read returned a value that was written later",
  ],
])("not linearizable: %s", (_, operations, why) => {
  expect(findContradiction(operations, 0)?.reason).toBe(why);
});

/** Whether the operations are linearizable, found by trying all orders. */
const isLinearizable = (remaining: readonly Operation[], value: number): boolean => {
  if (remaining.every(({ endedAt }) => endedAt === undefined)) return true;
  const firstEnd = Math.min(...remaining.map(({ endedAt }) => endedAt ?? Infinity));
  return remaining.some((operation, index) => {
    if (operation.beganAt > firstEnd) return false;
    if (operation.kind === "read" && operation.value !== value) return false;
    return isLinearizable(
      remaining.filter((__, otherIndex) => otherIndex !== index),
      operation.value,
    );
  });
};

test("the checker and an exhaustive search over all orders agree on any short history", () => {
  const callArbitrary = fc.record({
    isRead: fc.boolean(),
    value: fc.nat(3),
    from: fc.nat(20),
    length: fc.integer({ min: 1, max: 12 }),
    isOpen: fc.boolean(),
  });
  fc.assert(
    fc.property(fc.array(callArbitrary, { maxLength: 7 }), (calls) => {
      const operations = calls.map(({ isRead, value, from, length, isOpen }, index): Operation => {
        const beganAt = from + index / 100;
        const endedAt = from + length + 0.5 + index / 100;
        if (isRead) return read(value, beganAt, endedAt);
        return write(10 + index, beganAt, isOpen ? undefined : endedAt);
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
