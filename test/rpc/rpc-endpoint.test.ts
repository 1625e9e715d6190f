import { expect, test } from "vitest";
import { RpcMethod } from "../../src/rpc/rpc-method.js";
import { RpcEndpoint } from "../../src/rpc/rpc-endpoint.js";
import { Clock } from "../../src/runtime/clock.js";
import { Queue } from "../../src/runtime/queue.js";
import { Task } from "../../src/runtime/task.js";
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
  const linkAt = (address: string, newest: number): RpcEndpoint => {
    const rpc = new RpcEndpoint(
      virtualRuntime({
        clock: time.clock(),
        network: network.wire(address, new EventGate()),
        random: RandomDraw.of(2),
      }),
      address,
      newest,
    );
    rpc.serve(RpcMethod.handOver, function* ({ term }) {
      return { taken: term === 7 };
    });
    Task.start(rpc.listen(), fail);
    return rpc;
  };
  const ask = (
    from: RpcEndpoint,
    to: { readonly self: string },
    waitMs = 500,
  ): boolean | undefined => {
    const returns: Array<boolean | undefined> = [];
    Task.start(from.call(to.self, RpcMethod.handOver, { term: 7 }, waitMs), fail, (ret) =>
      returns.push(ret?.taken),
    );
    time.runUntil(time.nowMs() + waitMs + 100);
    return returns[0];
  };
  return { time, network, linkAt, ask };
};

test("neighbouring frame sequences understand one another, after one turned-down try at most", () => {
  const { linkAt, ask } = stage();
  const [older, newer, far] = [
    linkAt("10.0.0.1:1", 3),
    linkAt("10.0.0.2:1", 4),
    linkAt("10.0.0.3:1", 6),
  ];
  expect(ask(older, newer)).toBe(true);
  ask(newer, older);
  expect(ask(newer, older)).toBe(true);
  ask(far, older);
  expect(ask(far, older)).toBeUndefined();
  expect(older.droppedFrames).toBeGreaterThan(0);
});

test("a peer that sends what is no frame loses its link, and others are served on", () => {
  const { time, network, linkAt, ask } = stage();
  const [one, two] = [linkAt("10.0.0.1:1", 1), linkAt("10.0.0.2:1", 1)];
  const heard: string[] = [];
  Task.start(
    (function* () {
      const connection = yield* network.wire("stranger", new EventGate()).connect(one.self);
      connection?.send(Buffer.from("GET / HTTP/1.1\r\n\r\n"));
      const word = yield* (connection?.incoming ?? new Queue<Uint8Array | "closed">()).take();
      heard.push(word === "closed" ? "closed" : "bytes");
    })(),
    (error) => {
      throw error;
    },
  );
  time.runUntil(time.nowMs() + 300);
  expect(heard).toEqual(["closed"]);
  expect(one.droppedFrames).toBe(1);
  expect(ask(two, one)).toBe(true);
});

test("a peer that takes no connection is known to have failed, one that answers late is not", () => {
  const { time, linkAt, ask } = stage();
  const asking = linkAt("10.0.0.1:1", 3);
  const slow = linkAt("10.0.0.2:1", 3);
  slow.serve(RpcMethod.handOver, function* () {
    yield* Clock.sleep(time.clock(), 700);
    return { taken: true };
  });
  const gone = { self: "10.0.0.9:1" };
  const sinceMs = time.nowMs();
  expect(ask(asking, slow)).toBeUndefined();
  expect(asking.isUnreachable(slow.self, sinceMs)).toBe(false);
  expect(ask(asking, gone)).toBeUndefined();
  time.runUntil(time.nowMs() + 2000);
  expect(asking.isUnreachable(gone.self, sinceMs)).toBe(true);
  expect(asking.isUnreachable(gone.self, time.nowMs())).toBe(false);
});

test("a peer that rested for long and then answers late, as an overloaded one does, is not out of reach", () => {
  const { time, linkAt, ask } = stage();
  const asking = linkAt("10.0.0.1:1", 3);
  const slow = linkAt("10.0.0.2:1", 3);
  expect(ask(asking, slow)).toBe(true);
  slow.serve(RpcMethod.handOver, function* () {
    yield* Clock.sleep(time.clock(), 600);
    return { taken: true };
  });
  for (let round = 0; round < 10; round += 1) {
    time.runUntil(time.nowMs() + 5000);
    expect(ask(asking, slow, 200)).toBeUndefined();
    expect(asking.isUnreachable(slow.self, 0)).toBe(false);
  }
});

test("a peer that says nothing for a second while it is asked is out of reach until it is heard again", () => {
  const { time, network, linkAt, ask } = stage();
  const [asking, peer] = [linkAt("10.0.0.1:1", 3), linkAt("10.0.0.2:1", 3)];
  expect(ask(asking, peer)).toBe(true);
  const sinceMs = time.nowMs();
  const ways = [
    [asking.self, peer.self],
    [peer.self, asking.self],
  ] as const;
  for (const [from, to] of ways) network.cut(from, to);
  while (time.nowMs() < sinceMs + 2500) ask(asking, peer, 200);
  expect(asking.isUnreachable(peer.self, sinceMs)).toBe(true);
  for (const [from, to] of ways) network.mend(from, to);
  while (ask(asking, peer, 200) === undefined && time.nowMs() < sinceMs + 9000);
  expect(asking.isUnreachable(peer.self, sinceMs)).toBe(false);
});
