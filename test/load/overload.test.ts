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
  ...Array.from({ length: 15 }, (_, at) => `e:${["a", "b", "c"][at % 3]}`),
];
const expiredLeaseBounds = { staleMs: 5000, contactMs: 3000 };
/** A change is in force at all that serve within this time. */
const applyMs = 2000;

const createCluster = (): LimitedCluster => {
  const stage = new LimitedCluster(machines, [0, 1, 2], { tolerate: { machines: 2, zones: 0 } });
  stage.bootAll();
  stage.wait(5000);
  expect(stage.submitUntilFinal(putConfig(0, 3, "first"), 6)).toBe(200);
  stage.wait(1000);
  return stage;
};

/** Keeps the processors of some machines busy, so that what comes waits for a fifth of a second and more. */
const overloadProcessors = (
  stage: LimitedCluster,
  busy: readonly FixtureMachine[],
  forMs: number,
): void => {
  const untilMs = stage.virtualClock.nowMs() + forMs;
  const clock = stage.virtualClock.clock();
  stage.startTask(
    (function* (): Task {
      while (stage.virtualClock.nowMs() < untilMs) {
        for (const machine of busy) stage.processor(machine).charge(180);
        yield* sleep(clock, 300);
      }
    })(),
  );
};

/** An edge's link to the members: it asks one after another, as one does whose leader answers late. */
const pollAllMembers = (stage: LimitedCluster): RpcEndpoint => {
  const runtime = virtualRuntime({
    clock: stage.virtualClock.clock(),
    network: stage.network.createInterface("asking", new EventGate()),
    random: stage.random,
  });
  const rpc = new RpcEndpoint(runtime, "10.0.9.8:7000");
  const asking = function* (): Task {
    for (;;)
      for (const { peer } of stage.diskMachines) {
        yield* rpc.call(peer, rpcMethods.handOver, { term: 0 }, 200);
        yield* sleep(runtime.clock, 350);
      }
  };
  stage.startTask(asking());
  return rpc;
};

test("members whose processors are overloaded are never taken for a core that is out of reach", () => {
  const stage = createCluster();
  const rpc = pollAllMembers(stage);
  const lease = new ExpiredLeasePolicy(
    stage.virtualClock.clock(),
    {
      replicas: stage.diskMachines.map(({ peer }) => peer),
      isUnreachable: (member, sinceMs) => rpc.isUnreachable(member, sinceMs),
    },
    expiredLeaseBounds,
  );
  overloadProcessors(stage, stage.diskMachines, 12_000);
  const untilMs = stage.virtualClock.nowMs() + 12_000;
  let allowed = 0;
  while (stage.virtualClock.nowMs() < untilMs) {
    stage.wait(20);
    if (lease.allows(1)) allowed += 1;
  }
  expect(allowed).toBe(0);
});

test("under an overloaded leader a change that is acknowledged is in force in time wherever a lease holds, also when that leader is killed", () => {
  const stage = createCluster();
  const edges = stage.machines.filter(({ disk }) => !disk);
  for (let base = 3, round = 0; round < 6; round += 1) {
    const { leader } = stage;
    overloadProcessors(stage, [leader], 1500);
    expect(
      stage.submitUntilFinal(
        patchConfig(base, base + 2, { name: `r${round}`, svc: "one" }),
        6 + round,
      ),
    ).toBe(200);
    base += 2;
    if (round % 2 === 1) {
      stage.kill(leader);
      stage.boot(leader, { bootstrap: false });
    }
    stage.wait(applyMs);
    for (const { daemon } of edges)
      if (daemon?.servingState.isGranted === true)
        expect(daemon.servingState.configSequence).toBeGreaterThanOrEqual(round + 2);
    stage.wait(3000);
    expect(edges.filter(({ daemon }) => daemon?.servingState.isGranted === true)).toHaveLength(15);
  }
});
