import { expect, test } from "vitest";
import { CommandForwarder } from "../../src/cluster-view/command-forwarder.js";
import { RpcEndpoint } from "../../src/rpc/rpc-endpoint.js";
import { EventGate } from "../../src/simulation/event-gate.js";
import { virtualRuntime } from "../../src/simulation/virtual-runtime.js";
import { sleep } from "../../src/runtime/clock.js";
import type { Task } from "../../src/runtime/task.js";
import { patchConfig, routeTo, type ConfigChangeBytes } from "../platform/command-stage.js";
import type { FixtureMachine } from "../replication/fleet-stage.js";
import { LimitedCluster } from "./limited-stage.js";

const zones = ["a", "b", "c"];
/** Machines of one kind in alternating zones: "d" with a disk, "e" an edge. */
const machinesOf = (kind: string, count: number): string[] =>
  Array.from({ length: count }, (_, index) => `${kind}:${zones[index % zones.length]}`);

const service = { type: "services", meta: { name: "one" }, spec: { maxConns: 66 } };
const createLargeConfig = (routes: number): ConfigChangeBytes => ({
  target: "config/put",
  base: "0",
  body: JSON.stringify({
    ver: "r1",
    objs: [...Array.from({ length: routes }, (_, index) => routeTo(`r${index}`, "one")), service],
  }),
});

/** In the grown deployments a change must be in force on all edges within this time. */
const applyTimeoutMs = 2000;
/** In the grown deployments a change must be acknowledged within this time. */
const ackTimeoutMs = 4000;
/** Timeout of the idempotency claim for the first attempt of a keyed write: a fifth of a target time of 900 ms. */
const claimTimeoutMs = 180;
const claimIntervalMs = 20;

const createCluster = (): LimitedCluster => {
  const cluster = new LimitedCluster([...machinesOf("d", 6), ...machinesOf("e", 30)], [0, 1, 2], {
    tolerate: { machines: 2, zones: 0 },
  });
  cluster.bootAll();
  cluster.wait(5000);
  return cluster;
};

/** Creates a forwarder to the leader on a separate machine without limits on its processor and link. */
const createForwarder = (cluster: LimitedCluster): CommandForwarder => {
  const runtime = virtualRuntime({
    clock: cluster.virtualClock.clock(),
    network: cluster.network.createInterface("caller", new EventGate()),
    random: cluster.random,
  });
  const rpc = new RpcEndpoint(runtime, "10.0.9.9:7000");
  return new CommandForwarder(runtime, rpc, () => cluster.diskMachines.map(({ peer }) => peer));
};

/** Claims a new key every 20 ms while the cluster runs. Returns the duration of each claim, infinite for one that failed. */
const startClaims = (cluster: LimitedCluster): number[] => {
  const durationsMs: number[] = [];
  const clock = cluster.virtualClock.clock();
  const forwarder = createForwarder(cluster);
  const claim = function* (index: number): Task {
    const sentMs = cluster.virtualClock.nowMs();
    const command = {
      kind: "claim",
      scope: `key-${index}`,
      bodyHash: "h",
      job: `job-${index}`,
    } as const;
    const text = yield* forwarder.command(command, 5000);
    durationsMs.push(
      text === '{"claimed":true}' ? cluster.virtualClock.nowMs() - sentMs : Infinity,
    );
  };
  cluster.startTask(
    (function* (): Task {
      for (let index = 0; ; index += 1) {
        cluster.startTask(claim(index));
        yield* sleep(clock, claimIntervalMs);
      }
    })(),
  );
  return durationsMs;
};

/**
 * Guards against configuration traffic that fills the links or the leader's processor. A configuration of 2,500 routes goes
 * to 30 edges on narrow links, then changes follow each other. If they delay each other, the leader's heartbeats or the
 * claims of keyed writes, then changes exceed their bounds, an election occurs, or claims time out.
 */
test("with the links and processors of a grown deployment, a configuration of 2,500 routes and rapid changes delay neither each other nor keyed writes, and cause no election", () => {
  const cluster = createCluster();
  const electionsBefore = cluster.electionCount;
  expect(cluster.submitUntilFinal(createLargeConfig(2500), 6)).toBe(200);
  cluster.wait(2000);
  const edges = cluster.machines.filter(({ disk }) => !disk);
  const claimDurationsMs = startClaims(cluster);
  for (let version = 1; version <= 10; version += 1) {
    const edge = edges[version % edges.length] ?? cluster.machineAt(0);
    const change = patchConfig(version, version + 1, { name: `s${version}`, svc: "one" });
    const request = cluster.submit(edge, change);
    cluster.waitUntil(() => request.code !== undefined, ackTimeoutMs);
    expect(request.code).toBe(200);
    const isBehind = ({ daemon }: FixtureMachine): boolean =>
      daemon?.servingState.isGranted !== true || daemon.servingState.configSequence < version + 1;
    cluster.waitUntil(() => !edges.some(isBehind), applyTimeoutMs);
  }
  expect(cluster.electionCount).toBe(electionsBefore);
  expect(claimDurationsMs.length).toBeGreaterThan(20);
  expect(Math.max(...claimDurationsMs)).toBeLessThan(claimTimeoutMs);
}, 120_000);
