import { expect, test } from "vitest";
import { encodeFrame, FrameReader } from "../../src/rpc/frame.js";
import { PacedConnection } from "../../src/rpc/paced-connection.js";
import { VirtualClock } from "../../src/simulation/virtual-clock.js";
import { Queue } from "../../src/runtime/queue.js";
import { LinkPacer } from "../../src/runtime/link-pacer.js";
import type { Connection } from "../../src/runtime/network.js";

/** 3.2 Mbit/s: 360 bytes a millisecond are usable. */
const linkMbps = 3.2;

const frameOf = (requestId: number, bytes: number): Uint8Array =>
  encodeFrame({
    version: 3,
    methodId: 6,
    isResponse: true,
    requestId,
    body: new Uint8Array(bytes),
  });

const stage = () => {
  const time = new VirtualClock();
  const clock = time.clock();
  const egress = new LinkPacer(clock, linkMbps);
  const connectionOf = (patienceMs = 0) => {
    const written: Array<{ atMs: number; bytes: number }> = [];
    const received: Array<{ requestId: number; atMs: number }> = [];
    const reader = new FrameReader();
    const wire: Connection = {
      incoming: new Queue(),
      send(bytes) {
        written.push({ atMs: time.nowMs(), bytes: bytes.length });
        for (const { requestId } of reader.read(bytes))
          received.push({ requestId, atMs: time.nowMs() });
      },
      close: () => undefined,
    };
    return { paced: new PacedConnection(wire, egress, clock, patienceMs), written, received };
  };
  return { time, egress, connectionOf };
};

test("large frames to many peers are written at the rate of the link, and a small frame on another connection at once", () => {
  const { time, egress, connectionOf } = stage();
  const connections = Array.from({ length: 5 }, () => connectionOf());
  for (const { paced } of connections) paced.send(frameOf(1, 78_000));
  time.runUntil(100);
  expect(egress.queueMs).toBeLessThanOrEqual(30);
  const other = connectionOf();
  other.paced.send(frameOf(2, 100));
  expect(other.received).toHaveLength(1);
  time.runUntil(3000);
  for (const { received } of connections)
    expect(received.map(({ requestId }) => requestId)).toEqual([1]);
  const bytes = connections
    .flatMap(({ written }) => written)
    .reduce((sum, one) => sum + one.bytes, 0);
  expect(bytes).toBeGreaterThan(5 * 78_000);
  const endMs = Math.max(
    ...connections.flatMap(({ received }) => received.map(({ atMs }) => atMs)),
  );
  expect(endMs).toBeGreaterThan(bytes / 400);
  expect(endMs).toBeLessThan(bytes / 330);
});

test("frames of one connection are never interleaved: a small one precedes a large one that waits, and follows one that has begun", () => {
  const { time, connectionOf } = stage();
  const { paced, received } = connectionOf();
  paced.send(frameOf(1, 30_000));
  paced.send(frameOf(2, 30_000));
  paced.send(frameOf(3, 100));
  time.runUntil(2000);
  expect(received.map(({ requestId }) => requestId)).toEqual([1, 3, 2]);
});

test("large frames with patience give way to those without", () => {
  const { time, connectionOf } = stage();
  const responses = connectionOf(1000);
  const requests = connectionOf();
  responses.paced.send(frameOf(1, 100_000));
  requests.paced.send(frameOf(2, 50_000));
  time.runUntil(2000);
  expect(requests.received[0]?.atMs).toBeLessThan(responses.received[0]?.atMs ?? 0);
});

test("a closed connection releases its turns", () => {
  const { time, egress, connectionOf } = stage();
  const closed = connectionOf();
  closed.paced.send(frameOf(1, 1_000_000));
  closed.paced.close();
  expect(egress.estimateWaitMs(0)).toBeLessThanOrEqual(30);
  const other = connectionOf();
  other.paced.send(frameOf(2, 20_000));
  time.runUntil(200);
  expect(other.received).toHaveLength(1);
  expect(closed.received).toEqual([]);
});

test("on an overloaded link the newest responses are in time, the others are dropped, and no backlog remains", () => {
  const { time, egress, connectionOf } = stage();
  const waitMs = 450;
  const responseBytes = 20_000;
  const connections = Array.from({ length: 30 }, () => connectionOf(1000));
  let requestId = 0;
  const inTime: number[] = [];
  for (let round = 0; round < 10; round += 1) {
    for (const { paced } of connections) {
      requestId += 1;
      paced.send(frameOf(requestId, responseBytes), time.nowMs() + waitMs);
    }
    time.runUntil(time.nowMs() + waitMs);
    const received = connections.flatMap((one) => one.received.splice(0));
    inTime.push(received.filter((one) => one.requestId > requestId - connections.length).length);
  }
  const fullMs = waitMs * 10;
  const bytes = inTime.reduce((sum, one) => sum + one, 0) * responseBytes;
  expect(bytes).toBeGreaterThan(0.85 * 360 * fullMs);
  expect(egress.bulkBytes).toBeLessThan(2 * responseBytes * connections.length);
});

test("a connection that is closed in the middle of a frame writes no more of it", () => {
  const { time, egress, connectionOf } = stage();
  const { paced, written } = connectionOf();
  paced.send(frameOf(1, egress.turnBytes * 5));
  const before = written.length;
  expect(before).toBeGreaterThan(0);
  paced.close();
  time.runUntil(1000);
  expect(written).toHaveLength(before);
});
