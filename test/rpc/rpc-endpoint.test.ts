import { expect, test } from "vitest";
import { rpcMethods } from "../../src/rpc/rpc-method.js";
import { RpcEndpoint } from "../../src/rpc/rpc-endpoint.js";
import { sleep } from "../../src/runtime/clock.js";
import { Queue } from "../../src/runtime/queue.js";
import { runTask } from "../../src/runtime/task.js";
import { RandomDraw } from "../../src/simulation/random-draw.js";
import { EventGate } from "../../src/simulation/event-gate.js";
import { VirtualClock } from "../../src/simulation/virtual-clock.js";
import { VirtualNetwork } from "../../src/simulation/virtual-network.js";
import { virtualRuntime } from "../../src/simulation/virtual-runtime.js";

const stage = () => {
  const time = new VirtualClock();
  const network = new VirtualNetwork(time.clock(), RandomDraw.of(1));
  const fail = (error: unknown): void => {
    throw error;
  };
  const endpointAt = (address: string, newestVersion: number): RpcEndpoint => {
    const rpc = new RpcEndpoint(
      virtualRuntime({
        clock: time.clock(),
        network: network.createInterface(address, new EventGate()),
        random: RandomDraw.of(2),
      }),
      address,
      newestVersion,
    );
    rpc.serve(rpcMethods.handOver, function* ({ term }) {
      return { taken: term === 7 };
    });
    runTask(rpc.listen(), fail);
    return rpc;
  };
  const call = (
    from: RpcEndpoint,
    to: { readonly self: string },
    waitMs = 500,
  ): boolean | undefined => {
    const responses: Array<boolean | undefined> = [];
    runTask(from.call(to.self, rpcMethods.handOver, { term: 7 }, waitMs), fail, (response) =>
      responses.push(response?.taken),
    );
    time.runUntil(time.nowMs() + waitMs + 100);
    return responses[0];
  };
  return { time, network, endpointAt, call };
};

test("endpoints of adjacent frame versions understand each other, after one refused attempt at most", () => {
  const { endpointAt, call } = stage();
  const [older, newer, far] = [
    endpointAt("10.0.0.1:1", 3),
    endpointAt("10.0.0.2:1", 4),
    endpointAt("10.0.0.3:1", 6),
  ];
  expect(call(older, newer)).toBe(true);
  call(newer, older);
  expect(call(newer, older)).toBe(true);
  call(far, older);
  expect(call(far, older)).toBeUndefined();
  expect(older.protocolViolations).toBeGreaterThan(0);
});

test("the connection of a peer that sends no valid frame is closed, and others are still served", () => {
  const { time, network, endpointAt, call } = stage();
  const [one, two] = [endpointAt("10.0.0.1:1", 1), endpointAt("10.0.0.2:1", 1)];
  const received: string[] = [];
  runTask(
    (function* () {
      const connection = yield* network
        .createInterface("stranger", new EventGate())
        .connect(one.self);
      connection?.send(Buffer.from("GET / HTTP/1.1\r\n\r\n"));
      const piece = yield* (connection?.incoming ?? new Queue<Uint8Array | "closed">()).take();
      received.push(piece === "closed" ? "closed" : "bytes");
    })(),
    (error) => {
      throw error;
    },
  );
  time.runUntil(time.nowMs() + 300);
  expect(received).toEqual(["closed"]);
  expect(one.protocolViolations).toBe(1);
  expect(call(two, one)).toBe(true);
});

test("a peer that refuses connections is unreachable, one that responds late is not", () => {
  const { time, endpointAt, call } = stage();
  const endpoint = endpointAt("10.0.0.1:1", 3);
  const slow = endpointAt("10.0.0.2:1", 3);
  slow.serve(rpcMethods.handOver, function* () {
    yield* sleep(time.clock(), 700);
    return { taken: true };
  });
  const absent = { self: "10.0.0.9:1" };
  const sinceMs = time.nowMs();
  expect(call(endpoint, slow)).toBeUndefined();
  expect(endpoint.isUnreachable(slow.self, sinceMs)).toBe(false);
  expect(call(endpoint, absent)).toBeUndefined();
  time.runUntil(time.nowMs() + 2000);
  expect(endpoint.isUnreachable(absent.self, sinceMs)).toBe(true);
  expect(endpoint.isUnreachable(absent.self, time.nowMs())).toBe(false);
});

test("a peer that was idle for long and then responds late is not unreachable", () => {
  const { time, endpointAt, call } = stage();
  const endpoint = endpointAt("10.0.0.1:1", 3);
  const slow = endpointAt("10.0.0.2:1", 3);
  expect(call(endpoint, slow)).toBe(true);
  slow.serve(rpcMethods.handOver, function* () {
    yield* sleep(time.clock(), 600);
    return { taken: true };
  });
  for (let round = 0; round < 10; round += 1) {
    time.runUntil(time.nowMs() + 5000);
    expect(call(endpoint, slow, 200)).toBeUndefined();
    expect(endpoint.isUnreachable(slow.self, 0)).toBe(false);
  }
});

test("a peer that sends nothing for a second while requests are pending is unreachable until it sends something", () => {
  const { time, network, endpointAt, call } = stage();
  const [endpoint, peer] = [endpointAt("10.0.0.1:1", 3), endpointAt("10.0.0.2:1", 3)];
  expect(call(endpoint, peer)).toBe(true);
  const sinceMs = time.nowMs();
  const directions = [
    [endpoint.self, peer.self],
    [peer.self, endpoint.self],
  ] as const;
  for (const [from, to] of directions) network.partition(from, to);
  while (time.nowMs() < sinceMs + 2500) call(endpoint, peer, 200);
  expect(endpoint.isUnreachable(peer.self, sinceMs)).toBe(true);
  for (const [from, to] of directions) network.heal(from, to);
  while (call(endpoint, peer, 200) === undefined && time.nowMs() < sinceMs + 9000);
  expect(endpoint.isUnreachable(peer.self, sinceMs)).toBe(false);
});
