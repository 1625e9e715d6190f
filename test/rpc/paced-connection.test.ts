import { expect, test } from "vitest";
import { Frame, FrameReader } from "../../src/rpc/frame.js";
import { PacedConnection } from "../../src/rpc/paced-connection.js";
import { VirtualClock } from "../../src/simulation/virtual-clock.js";
import { Queue } from "../../src/runtime/queue.js";
import { LinkPacer } from "../../src/runtime/link-pacer.js";
import type { Connection } from "../../src/runtime/network.js";

/** 3.2 Mbit/s: 360 bytes a millisecond are counted on. */
const linkMbps = 3.2;

const frameOf = (job: number, bytes: number): Uint8Array =>
  Frame.encode({ sequence: 3, kind: 6, isReturn: true, job, body: new Uint8Array(bytes) });

const stage = () => {
  const time = new VirtualClock();
  const clock = time.clock();
  const egress = new LinkPacer(clock, linkMbps);
  const channelOf = (patienceMs = 0) => {
    const written: Array<{ atMs: number; bytes: number }> = [];
    const heard: Array<{ job: number; atMs: number }> = [];
    const reader = new FrameReader();
    const wire: Connection = {
      incoming: new Queue(),
      send(bytes) {
        written.push({ atMs: time.nowMs(), bytes: bytes.length });
        for (const { job } of reader.read(bytes)) heard.push({ job, atMs: time.nowMs() });
      },
      close: () => undefined,
    };
    return { paced: new PacedConnection(wire, egress, clock, patienceMs), written, heard };
  };
  return { time, egress, channelOf };
};

test("large frames to many peers leave at the rate of the link, and a small frame on another channel at once", () => {
  const { time, egress, channelOf } = stage();
  const channels = Array.from({ length: 5 }, () => channelOf());
  for (const { paced } of channels) paced.send(frameOf(1, 78_000));
  time.runUntil(100);
  expect(egress.queueMs).toBeLessThanOrEqual(30);
  const other = channelOf();
  other.paced.send(frameOf(2, 100));
  expect(other.heard).toHaveLength(1);
  time.runUntil(3000);
  for (const { heard } of channels) expect(heard.map(({ job }) => job)).toEqual([1]);
  const bytes = channels.flatMap(({ written }) => written).reduce((sum, one) => sum + one.bytes, 0);
  expect(bytes).toBeGreaterThan(5 * 78_000);
  const endMs = Math.max(...channels.flatMap(({ heard }) => heard.map(({ atMs }) => atMs)));
  expect(endMs).toBeGreaterThan(bytes / 400);
  expect(endMs).toBeLessThan(bytes / 330);
});

test("on one channel frames stay whole: a small one goes before a large one that waits, after one that has begun", () => {
  const { time, channelOf } = stage();
  const { paced, heard } = channelOf();
  paced.send(frameOf(1, 30_000));
  paced.send(frameOf(2, 30_000));
  paced.send(frameOf(3, 100));
  time.runUntil(2000);
  expect(heard.map(({ job }) => job)).toEqual([1, 3, 2]);
});

test("large frames that may wait give way to those that may not", () => {
  const { time, channelOf } = stage();
  const returns = channelOf(1000);
  const asks = channelOf();
  returns.paced.send(frameOf(1, 100_000));
  asks.paced.send(frameOf(2, 50_000));
  time.runUntil(2000);
  expect(asks.heard[0]?.atMs).toBeLessThan(returns.heard[0]?.atMs ?? 0);
});

test("a closed channel gives its turns to others", () => {
  const { time, egress, channelOf } = stage();
  const gone = channelOf();
  gone.paced.send(frameOf(1, 1_000_000));
  gone.paced.close();
  expect(egress.waitMs(0)).toBeLessThanOrEqual(30);
  const other = channelOf();
  other.paced.send(frameOf(2, 20_000));
  time.runUntil(200);
  expect(other.heard).toHaveLength(1);
  expect(gone.heard).toEqual([]);
});

test("where more is asked for than the link takes, the newest returns are in time, the others are dropped, and nothing piles up", () => {
  const { time, egress, channelOf } = stage();
  const waitMs = 450;
  const returnBytes = 20_000;
  const channels = Array.from({ length: 30 }, () => channelOf(1000));
  let job = 0;
  const inTime: number[] = [];
  for (let round = 0; round < 10; round += 1) {
    for (const { paced } of channels) {
      job += 1;
      paced.send(frameOf(job, returnBytes), time.nowMs() + waitMs);
    }
    time.runUntil(time.nowMs() + waitMs);
    const heard = channels.flatMap((one) => one.heard.splice(0));
    inTime.push(heard.filter((one) => one.job > job - channels.length).length);
  }
  const fullMs = waitMs * 10;
  const bytes = inTime.reduce((sum, one) => sum + one, 0) * returnBytes;
  expect(bytes).toBeGreaterThan(0.85 * 360 * fullMs);
  expect(egress.bulkBytes).toBeLessThan(2 * returnBytes * channels.length);
});

test("a channel that is closed in the middle of a frame that began at once writes no more of it", () => {
  const { time, egress, channelOf } = stage();
  const { paced, written } = channelOf();
  paced.send(frameOf(1, egress.turnBytes * 5));
  const before = written.length;
  expect(before).toBeGreaterThan(0);
  paced.close();
  time.runUntil(1000);
  expect(written).toHaveLength(before);
});
