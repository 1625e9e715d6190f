import { expect, test } from "vitest";
import { encodeFrame, FrameReader } from "../../src/rpc/frame.js";
import { PacedConnection } from "../../src/rpc/paced-connection.js";
import { VirtualClock } from "../../src/simulation/virtual-clock.js";
import { Queue } from "../../src/runtime/queue.js";
import { LinkPacer } from "../../src/runtime/link-pacer.js";
import type { Connection } from "../../src/runtime/network.js";

/** At 3.2 Mbit/s, 360 bytes per ms are usable. */
const linkMbps = 3.2;

const createFrame = (requestId: number, bytes: number): Uint8Array =>
  encodeFrame({
    version: 3,
    methodId: 6,
    isResponse: true,
    requestId,
    body: new Uint8Array(bytes),
  });

const createFixture = () => {
  const time = new VirtualClock();
  const clock = time.clock();
  const egress = new LinkPacer(clock, linkMbps);
  const openConnection = (maxDeferralMs = 0) => {
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
    return { paced: new PacedConnection(wire, egress, clock, maxDeferralMs), written, received };
  };
  return { time, egress, openConnection };
};

test("large frames to several peers are written at the rate of the link, and a small frame on another connection immediately", () => {
  const { time, egress, openConnection } = createFixture();
  const connections = Array.from({ length: 5 }, () => openConnection());
  for (const { paced } of connections) paced.send(createFrame(1, 78_000));
  time.runUntil(100);
  expect(egress.queueMs).toBeLessThanOrEqual(30);
  const other = openConnection();
  other.paced.send(createFrame(2, 100));
  expect(other.received).toHaveLength(1);
  time.runUntil(3000);
  for (const { received } of connections)
    expect(received.map(({ requestId }) => requestId)).toEqual([1]);
  const bytes = connections
    .flatMap(({ written }) => written)
    .reduce((sum, write) => sum + write.bytes, 0);
  expect(bytes).toBeGreaterThan(5 * 78_000);
  const endMs = Math.max(
    ...connections.flatMap(({ received }) => received.map(({ atMs }) => atMs)),
  );
  expect(endMs).toBeGreaterThan(bytes / 400);
  expect(endMs).toBeLessThan(bytes / 330);
});

test("frames of one connection are not interleaved: a small frame precedes a queued large one and follows a partly sent one", () => {
  const { time, openConnection } = createFixture();
  const { paced, received } = openConnection();
  paced.send(createFrame(1, 30_000));
  paced.send(createFrame(2, 30_000));
  paced.send(createFrame(3, 100));
  time.runUntil(2000);
  expect(received.map(({ requestId }) => requestId)).toEqual([1, 3, 2]);
});

test("large frames with a deferral are sent after those without", () => {
  const { time, openConnection } = createFixture();
  const responses = openConnection(1000);
  const requests = openConnection();
  responses.paced.send(createFrame(1, 100_000));
  requests.paced.send(createFrame(2, 50_000));
  time.runUntil(2000);
  expect(requests.received[0]?.atMs).toBeLessThan(responses.received[0]?.atMs ?? 0);
});

test("closing a connection releases its turns", () => {
  const { time, egress, openConnection } = createFixture();
  const closed = openConnection();
  closed.paced.send(createFrame(1, 1_000_000));
  closed.paced.close();
  expect(egress.estimateWaitMs(0)).toBeLessThanOrEqual(30);
  const other = openConnection();
  other.paced.send(createFrame(2, 20_000));
  time.runUntil(200);
  expect(other.received).toHaveLength(1);
  expect(closed.received).toEqual([]);
});

/**
 * On an overloaded link, responses sent in order of arrival would all be late: each waits behind older ones that their requesters no
 * longer await.
 */
test("on an overloaded link the newest responses arrive in time, the others are dropped, and no backlog remains", () => {
  const { time, egress, openConnection } = createFixture();
  const waitMs = 450;
  const responseBytes = 20_000;
  const connections = Array.from({ length: 30 }, () => openConnection(1000));
  let requestId = 0;
  const inTime: number[] = [];
  for (let round = 0; round < 10; round += 1) {
    for (const { paced } of connections) {
      requestId += 1;
      paced.send(createFrame(requestId, responseBytes), time.nowMs() + waitMs);
    }
    time.runUntil(time.nowMs() + waitMs);
    const received = connections.flatMap((connection) => connection.received.splice(0));
    inTime.push(
      received.filter((response) => response.requestId > requestId - connections.length).length,
    );
  }
  const fullMs = waitMs * 10;
  const bytes = inTime.reduce((sum, count) => sum + count, 0) * responseBytes;
  expect(bytes).toBeGreaterThan(0.85 * 360 * fullMs);
  expect(egress.bulkBytes).toBeLessThan(2 * responseBytes * connections.length);
});

test("a connection that is closed in the middle of a frame writes nothing more", () => {
  const { time, egress, openConnection } = createFixture();
  const { paced, written } = openConnection();
  paced.send(createFrame(1, egress.turnBytes * 5));
  const before = written.length;
  expect(before).toBeGreaterThan(0);
  paced.close();
  time.runUntil(1000);
  expect(written).toHaveLength(before);
});
