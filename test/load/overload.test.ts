import { expect, test } from "vitest";
import { ExpiredLeasePolicy } from "../../src/proxy/expired-lease-policy.js";
import { rpcMethods } from "../../src/rpc/rpc-method.js";
import { RpcEndpoint } from "../../src/rpc/rpc-endpoint.js";
import { EventGate } from "../../src/simulation/event-gate.js";
import { virtualRuntime } from "../../src/simulation/virtual-runtime.js";
import { sleep } from "../../src/runtime/clock.js";
import type { Task } from "../../src/runtime/task.js";
import { patchConfig, putConfig } from "../platform/command-stage.js";
import type { FixtureMachine } from "../replication/fleet-stage.js";
import { LimitedCluster } from "./limited-stage.js";

const machines = [
  ...["d:a", "d:b", "d:c", "d:a", "d:b"],
  ...Array.from({ length: 15 }, (_, index) => `e:${["a", "b", "c"][index % 3]}`),
];
const expiredLeaseBounds = { staleMs: 5000, contactMs: 3000 };
/** A change must be in force on all edges that serve requests within this time. */
const applyTimeoutMs = 2000;

const createCluster = (): LimitedCluster => {
  const cluster = new LimitedCluster(machines, [0, 1, 2], { tolerate: { machines: 2, zones: 0 } });
  cluster.bootAll();
  cluster.wait(5000);
  expect(cluster.submitUntilFinal(putConfig(0, 3, "first"), 6)).toBe(200);
  cluster.wait(1000);
  return cluster;
};

/** Overloads the processors of some machines, so that incoming work waits for 200 ms and more. */
const overloadProcessors = (
  cluster: LimitedCluster,
  overloaded: readonly FixtureMachine[],
  durationMs: number,
): void => {
  const untilMs = cluster.virtualClock.nowMs() + durationMs;
  const clock = cluster.virtualClock.clock();
  cluster.startTask(
    (function* (): Task {
      while (cluster.virtualClock.nowMs() < untilMs) {
        for (const machine of overloaded) cluster.processor(machine).charge(180);
        yield* sleep(clock, 300);
      }
    })(),
  );
};

/** Creates an endpoint that sends requests to the members in turn, as an edge does when its leader responds late. */
const pollAllMembers = (cluster: LimitedCluster): RpcEndpoint => {
  const runtime = virtualRuntime({
    clock: cluster.virtualClock.clock(),
    network: cluster.network.createInterface("asking", new EventGate()),
    random: cluster.random,
  });
  const rpc = new RpcEndpoint(runtime, "10.0.9.8:7000");
  const pollMembers = function* (): Task {
    for (;;)
      for (const { peer } of cluster.diskMachines) {
        yield* rpc.call(peer, rpcMethods.handOver, { term: 0 }, 200);
        yield* sleep(runtime.clock, 350);
      }
  };
  cluster.startTask(pollMembers());
  return rpc;
};

/**
 * Guards against serving by an expired lease while the quorum is available. Overloaded members respond late, which must not
 * count as evidence that they are unreachable.
 */
test("members with overloaded processors never count as an unreachable quorum", () => {
  const cluster = createCluster();
  const rpc = pollAllMembers(cluster);
  const policy = new ExpiredLeasePolicy(
    cluster.virtualClock.clock(),
    {
      replicas: cluster.diskMachines.map(({ peer }) => peer),
      isUnreachable: (member, sinceMs) => rpc.isUnreachable(member, sinceMs),
    },
    expiredLeaseBounds,
  );
  overloadProcessors(cluster, cluster.diskMachines, 12_000);
  const untilMs = cluster.virtualClock.nowMs() + 12_000;
  let allowedCount = 0;
  while (cluster.virtualClock.nowMs() < untilMs) {
    cluster.wait(20);
    if (policy.allows(1)) allowedCount += 1;
  }
  expect(allowedCount).toBe(0);
});

/**
 * Guards against edges that serve by an old configuration although they hold a lease. The leader is overloaded while
 * it accepts a change, and in every second round it is killed and restarted right after the acknowledgment.
 */
test("with an overloaded leader an acknowledged change is in force in time on every edge with a lease, also when that leader is killed", () => {
  const cluster = createCluster();
  const edges = cluster.machines.filter(({ disk }) => !disk);
  for (let base = 3, round = 0; round < 6; round += 1) {
    const { leader } = cluster;
    overloadProcessors(cluster, [leader], 1500);
    expect(
      cluster.submitUntilFinal(
        patchConfig(base, base + 2, { name: `r${round}`, svc: "one" }),
        6 + round,
      ),
    ).toBe(200);
    base += 2;
    if (round % 2 === 1) {
      cluster.kill(leader);
      cluster.boot(leader, { bootstrap: false });
    }
    cluster.wait(applyTimeoutMs);
    for (const { daemon } of edges)
      if (daemon?.servingState.isGranted === true)
        expect(daemon.servingState.configSequence).toBeGreaterThanOrEqual(round + 2);
    cluster.wait(3000);
    expect(edges.filter(({ daemon }) => daemon?.servingState.isGranted === true)).toHaveLength(15);
  }
});
