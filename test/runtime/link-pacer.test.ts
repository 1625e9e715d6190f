import { expect, test } from "vitest";
import { VirtualClock } from "../../src/simulation/virtual-clock.js";
import { LinkPacer, type TransferRank } from "../../src/runtime/link-pacer.js";
import { runTask } from "../../src/runtime/task.js";

const fail = (error: unknown): void => {
  throw error;
};

/** 3.2 Mbit/s: 400 bytes a millisecond, of which 360 are usable. */
const linkMbps = 3.2;
const usableBytesPerMs = 360;

const stage = (rate: number | undefined = linkMbps) => {
  const time = new VirtualClock();
  const pacer = new LinkPacer(time.clock(), rate);
  const written: Array<{ name: string; atMs: number; bytes: number }> = [];
  const transfer = (name: string, bytes: number, rank: TransferRank): void =>
    runTask(
      (function* () {
        const one = pacer.begin(rank, bytes);
        for (let remainingBytes = bytes; remainingBytes > 0;) {
          const part = Math.min(remainingBytes, pacer.turnBytes);
          yield* one.awaitTurn(part);
          written.push({ name, atMs: time.nowMs(), bytes: part });
          remainingBytes -= part;
        }
        one.end();
      })(),
      fail,
    );
  const endOf = (name: string): number =>
    Math.max(...written.filter((one) => one.name === name).map(({ atMs }) => atMs));
  return { time, pacer, written, transfer, endOf };
};

test("small messages never wait behind more than some tens of milliseconds of bulk, which uses the full rate of the link", () => {
  const { time, pacer, written, transfer } = stage();
  for (let one = 0; one < 10; one += 1)
    transfer(`download ${one}`, 300_000, { transferClass: "response", dueMs: 60_000 });
  for (let atMs = 1; atMs <= 2000; atMs += 1) {
    time.runUntil(atMs);
    expect(pacer.queueMs).toBeLessThanOrEqual(30);
  }
  const bytes = written.reduce((sum, one) => sum + one.bytes, 0);
  expect(bytes).toBeGreaterThan(0.97 * usableBytesPerMs * 2000);
  expect(bytes).toBeLessThan(1.03 * usableBytesPerMs * 2000);
});

test("small messages count: bulk waits until they have left", () => {
  const { time, pacer, written, transfer } = stage();
  pacer.recordBytes(usableBytesPerMs * 100);
  expect(pacer.queueMs).toBeCloseTo(100, 0);
  transfer("download", 1000, { transferClass: "response", dueMs: 1000 });
  time.runUntil(80);
  expect(written).toEqual([]);
  time.runUntil(90);
  expect(written).toHaveLength(1);
});

test("transfers of one deadline alternate, an earlier one goes first, control precedes responses, and late responses go last", () => {
  const { time, transfer, endOf } = stage();
  transfer("late", 50_000, { transferClass: "response", dueMs: -1 });
  transfer("one", 100_000, { transferClass: "response", dueMs: 3000 });
  transfer("other", 100_000, { transferClass: "response", dueMs: 3000 });
  transfer("early", 50_000, { transferClass: "response", dueMs: 2000 });
  transfer("control", 50_000, { transferClass: "control", dueMs: 9000 });
  time.runUntil(3000);
  expect(endOf("control")).toBeLessThan(endOf("early"));
  expect(endOf("early")).toBeLessThan(endOf("one"));
  expect(Math.abs(endOf("one") - endOf("other"))).toBeLessThanOrEqual(20);
  expect(endOf("other")).toBeLessThan(endOf("late"));
});

test("the estimated wait covers what is queued and what is yet to be written, without ended transfers", () => {
  const { time, pacer } = stage();
  const one = pacer.begin({ transferClass: "response", dueMs: 1000 }, usableBytesPerMs * 500);
  expect(pacer.estimateWaitMs(usableBytesPerMs * 100)).toBeCloseTo(600, 0);
  one.onTurn(usableBytesPerMs * 10, () => undefined);
  expect(pacer.estimateWaitMs(0)).toBeCloseTo(500, 0);
  time.runUntil(10);
  expect(pacer.estimateWaitMs(0)).toBeCloseTo(490, 0);
  one.end();
  expect(pacer.estimateWaitMs(0)).toBe(0);
});

test("a cancelled turn is not granted", () => {
  const { time, pacer, written, transfer } = stage();
  pacer.recordBytes(usableBytesPerMs * 100);
  const one = pacer.begin({ transferClass: "control", dueMs: 0 });
  const given: string[] = [];
  one.onTurn(100, () => given.push("cancelled"))();
  transfer("other", 100, { transferClass: "response", dueMs: 0 });
  time.runUntil(200);
  expect(given).toEqual([]);
  expect(written).toHaveLength(1);
});

test("without a known rate nothing is delayed", () => {
  const { pacer, written, transfer } = stage(0);
  pacer.recordBytes(10 ** 9);
  transfer("download", 10 ** 8, { transferClass: "response", dueMs: 0 });
  expect(written).toHaveLength(1);
  expect(pacer.queueMs).toBe(0);
  expect(pacer.estimateWaitMs(10 ** 9)).toBe(0);
});
