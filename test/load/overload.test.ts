import { expect, test } from "vitest";
import { ExpiredLeasePolicy } from "../../src/proxy/expired-lease-policy.js";
import { rpcMethods } from "../../src/rpc/rpc-method.js";
import { RpcEndpoint } from "../../src/rpc/rpc-endpoint.js";
import { EventGate } from "../../src/simulation/event-gate.js";
import { virtualRuntime } from "../../src/simulation/virtual-runtime.js";
import { sleep } from "../../src/runtime/clock.js";
import type { Task } from "../../src/runtime/task.js";
import { patchConfig, putConfig } from "../platform/command-stage.js";
import type { StageMachine } from "../replication/fleet-stage.js";
import { LimitedCluster } from "./limited-stage.js";

const machines = [
  ...["d:a", "d:b", "d:c", "d:a", "d:b"],
  ...Array.from({ length: 15 }, (_, at) => `e:${["a", "b", "c"][at % 3]}`),
];
const expiredLeaseBounds = { staleMs: 5000, contactMs: 3000 };
/** A change is in force at all that serve within this time. */
const applyMs = 2000;

const createCluster = (): LimitedCluster => {
  const cluster = new LimitedCluster(machines, [0, 1, 2], { tolerate: { machines: 2, zones: 0 } });
  cluster.bootAll();
  cluster.wait(5000);
  expect(cluster.submitUntilFinal(putConfig(0, 3, "first"), 6)).toBe(200);
  cluster.wait(1000);
  return cluster;
};

/** Keeps the processors of some machines busy, so that what comes waits for a fifth of a second and more. */
const overloadProcessors = (
  cluster: LimitedCluster,
  overloaded: readonly StageMachine[],
  durationMs: number,
): void => {
  const untilMs = cluster.time.nowMs() + durationMs;
  const clock = cluster.time.clock();
  cluster.start(
    (function* (): Task {
      while (cluster.time.nowMs() < untilMs) {
        for (const machine of overloaded) cluster.processor(machine).charge(180);
        yield* sleep(clock, 300);
      }
    })(),
  );
};

/** An edge's link to the members: it asks one after another, as one does whose leader answers late. */
const pollAllMembers = (cluster: LimitedCluster): RpcEndpoint => {
  const runtime = virtualRuntime({
    clock: cluster.time.clock(),
    network: cluster.network.wire("asking", new EventGate()),
    random: cluster.random,
  });
  const rpc = new RpcEndpoint(runtime, "10.0.9.8:7000");
  const pollMembers = function* (): Task {
    for (;;)
      for (const { peer } of cluster.disks) {
        yield* rpc.call(peer, rpcMethods.handOver, { term: 0 }, 200);
        yield* sleep(runtime.clock, 350);
      }
  };
  cluster.start(pollMembers());
  return rpc;
};

test("members whose processors are overloaded are never taken for a core that is out of reach", () => {
  const cluster = createCluster();
  const rpc = pollAllMembers(cluster);
  const policy = new ExpiredLeasePolicy(
    cluster.time.clock(),
    {
      replicas: cluster.disks.map(({ peer }) => peer),
      isUnreachable: (member, sinceMs) => rpc.isUnreachable(member, sinceMs),
    },
    expiredLeaseBounds,
  );
  overloadProcessors(cluster, cluster.disks, 12_000);
  const untilMs = cluster.time.nowMs() + 12_000;
  let allowedCount = 0;
  while (cluster.time.nowMs() < untilMs) {
    cluster.wait(20);
    if (policy.allows(1)) allowedCount += 1;
  }
  expect(allowedCount).toBe(0);
});

test("under an overloaded leader a change that is acknowledged is in force in time wherever a lease holds, also when that leader is killed", () => {
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
    cluster.wait(applyMs);
    for (const { daemon } of edges)
      if (daemon?.servingState.isGranted === true)
        expect(daemon.servingState.configSequence).toBeGreaterThanOrEqual(round + 2);
    cluster.wait(3000);
    expect(edges.filter(({ daemon }) => daemon?.servingState.isGranted === true)).toHaveLength(15);
  }
});
