import { expect, test } from "vitest";
import { rpcMethods } from "../../src/rpc/rpc-method.js";
import { RpcEndpoint } from "../../src/rpc/rpc-endpoint.js";
import { runTask } from "../../src/runtime/task.js";
import type { Runtime } from "../../src/runtime/runtime.js";
import { RandomDraw } from "../../src/simulation/random-draw.js";
import { EventGate } from "../../src/simulation/event-gate.js";
import { VirtualClock } from "../../src/simulation/virtual-clock.js";
import { VirtualNetwork } from "../../src/simulation/virtual-network.js";
import { virtualRuntime } from "../../src/simulation/virtual-runtime.js";
import { CountAggregator } from "../../src/retry-budget/count-aggregator.js";
import {
  RequestCounts,
  defaultRequestCountsFormat,
} from "../../src/retry-budget/request-counts.js";

test("an edge that changes its collector, also because that crashed, is never counted twice", () => {
  const time = new VirtualClock();
  const network = new VirtualNetwork(time.clock(), RandomDraw.of(3));
  const fail = (error: unknown): void => {
    throw error;
  };
  const gates = new Map<string, InstanceType<typeof EventGate>>();
  const endpointAt = (address: string): { runtime: Runtime; rpc: RpcEndpoint } => {
    const gate = new EventGate();
    gates.set(address, gate);
    const runtime = virtualRuntime({
      clock: gate.clock(time.clock()),
      network: network.createInterface(address, gate),
      random: RandomDraw.of(4),
    });
    const rpc = new RpcEndpoint(runtime, address);
    runTask(rpc.listen(), fail);
    return { runtime, rpc };
  };
  const [root, ...others] = ["10.0.0.1:1", "10.0.0.2:1", "10.0.0.3:1"].map((address) => {
    const { runtime, rpc } = endpointAt(address);
    const collector = new CountAggregator(
      runtime,
      rpc,
      defaultRequestCountsFormat,
      address,
      `i-${address}`,
      () => "10.0.0.1:1",
    );
    runTask(collector.run(2000), fail);
    return { address, collector };
  });
  const { runtime, rpc } = endpointAt("10.0.0.9:1");
  const counts = new RequestCounts(defaultRequestCountsFormat);
  const [left, right] = others;
  if (!root || !left || !right) throw new Error("A collector is missing.");
  let parent = left.address;
  let parentSequence = 1;
  let push = 0;
  let counted = 0;
  let largest = 0;
  for (let atMs = 0; atMs < 60_000; atMs += 20) {
    time.runUntil(atMs);
    counts.countAttempt(1, false, time.nowMs());
    counted += 1;
    if (atMs === 20_000 || atMs === 34_000) {
      if (atMs === 34_000) {
        gates.get(right.address)?.kill();
        network.disconnect(right.address);
      }
      parent = parent === left.address ? right.address : left.address;
      parentSequence += 1;
    }
    if (atMs % 2000 === 0) {
      push += 1;
      const text = JSON.stringify({
        from: "edge",
        incarnation: "one",
        tier: "edge",
        push,
        parentSequence,
        halfTripMs: 1,
        includes: [],
        wants: [],
        isHurried: false,
      });
      runTask(
        rpc.call(
          parent,
          rpcMethods.pushCounts,
          { text, sketches: counts.encode(runtime.clock.nowMs()) },
          1500,
        ),
        fail,
      );
    }
    const latest = root.collector.latest;
    if (!latest || atMs < 12_000) continue;
    const estimate = latest.counts.ofService(1, time.nowMs(), 10_000).firstAttempts;
    largest = Math.max(largest, estimate);
  }
  expect(counted).toBe(3000);
  expect(largest).toBeGreaterThan(250);
  expect(largest).toBeLessThan(450);
  expect(
    root.collector.latest?.counts.ofService(1, time.nowMs(), 10_000).firstAttempts,
  ).toBeGreaterThan(250);
});
