import { expect, test } from "vitest";
import { VirtualClock } from "../../src/simulation/virtual-clock.js";
import { LinkPacer, type TransferRank } from "../../src/runtime/link-pacer.js";
import { runTask } from "../../src/runtime/task.js";

const fail = (error: unknown): void => {
  throw error;
};

/** 3.2 Mbit/s are 400 bytes per ms, of which 360 are usable. */
const linkMbps = 3.2;
const usableBytesPerMs = 360;

const createFixture = (rate: number | undefined = linkMbps) => {
  const time = new VirtualClock();
  const pacer = new LinkPacer(time.clock(), rate);
  const written: Array<{ name: string; atMs: number; bytes: number }> = [];
  const transfer = (name: string, bytes: number, rank: TransferRank): void =>
    runTask(
      (function* () {
        const begun = pacer.begin(rank, bytes);
        for (let remainingBytes = bytes; remainingBytes > 0;) {
          const part = Math.min(remainingBytes, pacer.turnBytes);
          yield* begun.awaitTurn(part);
          written.push({ name, atMs: time.nowMs(), bytes: part });
          remainingBytes -= part;
        }
        begun.end();
      })(),
      fail,
    );
  const endOf = (name: string): number =>
    Math.max(...written.filter((write) => write.name === name).map(({ atMs }) => atMs));
  return { time, pacer, written, transfer, endOf };
};

test("small messages wait at most 30 ms behind bulk, which uses the full rate of the link", () => {
  const { time, pacer, written, transfer } = createFixture();
  for (let index = 0; index < 10; index += 1)
    transfer(`download ${index}`, 300_000, { transferClass: "response", dueMs: 60_000 });
  for (let atMs = 1; atMs <= 2000; atMs += 1) {
    time.runUntil(atMs);
    expect(pacer.queueMs).toBeLessThanOrEqual(30);
  }
  const bytes = written.reduce((sum, write) => sum + write.bytes, 0);
  expect(bytes).toBeGreaterThan(0.97 * usableBytesPerMs * 2000);
  expect(bytes).toBeLessThan(1.03 * usableBytesPerMs * 2000);
});

test("bulk waits until earlier small messages have left the queue", () => {
  const { time, pacer, written, transfer } = createFixture();
  pacer.recordBytes(usableBytesPerMs * 100);
  expect(pacer.queueMs).toBeCloseTo(100, 0);
  transfer("download", 1000, { transferClass: "response", dueMs: 1000 });
  time.runUntil(80);
  expect(written).toEqual([]);
  time.runUntil(90);
  expect(written).toHaveLength(1);
});

test("transfers of equal deadline alternate, earlier deadlines and control precede, and late responses are last", () => {
  const { time, transfer, endOf } = createFixture();
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

test("the estimated wait includes queued and announced bytes, but not those of ended transfers", () => {
  const { time, pacer } = createFixture();
  const announced = pacer.begin({ transferClass: "response", dueMs: 1000 }, usableBytesPerMs * 500);
  expect(pacer.estimateWaitMs(usableBytesPerMs * 100)).toBeCloseTo(600, 0);
  announced.onTurn(usableBytesPerMs * 10, () => undefined);
  expect(pacer.estimateWaitMs(0)).toBeCloseTo(500, 0);
  time.runUntil(10);
  expect(pacer.estimateWaitMs(0)).toBeCloseTo(490, 0);
  announced.end();
  expect(pacer.estimateWaitMs(0)).toBe(0);
});

test("a cancelled turn is not granted", () => {
  const { time, pacer, written, transfer } = createFixture();
  pacer.recordBytes(usableBytesPerMs * 100);
  const control = pacer.begin({ transferClass: "control", dueMs: 0 });
  const granted: string[] = [];
  control.onTurn(100, () => granted.push("cancelled"))();
  transfer("other", 100, { transferClass: "response", dueMs: 0 });
  time.runUntil(200);
  expect(granted).toEqual([]);
  expect(written).toHaveLength(1);
});

test("without a known rate nothing is delayed", () => {
  const { pacer, written, transfer } = createFixture(0);
  pacer.recordBytes(10 ** 9);
  transfer("download", 10 ** 8, { transferClass: "response", dueMs: 0 });
  expect(written).toHaveLength(1);
  expect(pacer.queueMs).toBe(0);
  expect(pacer.estimateWaitMs(10 ** 9)).toBe(0);
});
