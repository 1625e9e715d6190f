import { expect, test } from "vitest";
import { CommandForwarder } from "../../src/cluster-view/command-forwarder.js";
import { RpcEndpoint } from "../../src/rpc/rpc-endpoint.js";
import { EventGate } from "../../src/simulation/event-gate.js";
import { virtualRuntime } from "../../src/simulation/virtual-runtime.js";
import { sleep } from "../../src/runtime/clock.js";
import type { Task } from "../../src/runtime/task.js";
import { patchConfig, routeTo, type ConfigChangeBytes } from "../platform/command-stage.js";
import type { StageMachine } from "../replication/fleet-stage.js";
import { LimitedCluster } from "./limited-stage.js";

const zones = ["a", "b", "c"];
const machinesOf = (kind: string, count: number): string[] =>
  Array.from({ length: count }, (_, at) => `${kind}:${zones[at % zones.length]}`);

const service = { type: "services", meta: { name: "one" }, spec: { maxConns: 66 } };
const createLargeConfig = (routes: number): ConfigChangeBytes => ({
  target: "config/put",
  base: "0",
  body: JSON.stringify({
    ver: "r1",
    objs: [...Array.from({ length: routes }, (_, at) => routeTo(`r${at}`, "one")), service],
  }),
});

/** Bounds of the grown deployments: a change is in force everywhere, and acknowledged, within these. */
const applyMs = 2000;
const ackMs = 4000;
/** How long a first try of a keyed write waits for its claim: a fifth of a goal of 900 ms. */
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

/** A daemon's way to the leader, on a machine of its own that is never short of anything. */
const createForwarder = (cluster: LimitedCluster): CommandForwarder => {
  const runtime = virtualRuntime({
    clock: cluster.time.clock(),
    network: cluster.network.wire("caller", new EventGate()),
    random: cluster.random,
  });
  const rpc = new RpcEndpoint(runtime, "10.0.9.9:7000");
  return new CommandForwarder(runtime, rpc, () => cluster.disks.map(({ peer }) => peer));
};

/** Claims one key after another, for as long as the stage runs; how long each claim took. */
const startClaims = (cluster: LimitedCluster): number[] => {
  const durationsMs: number[] = [];
  const clock = cluster.time.clock();
  const forwarder = createForwarder(cluster);
  const claim = function* (at: number): Task {
    const sentMs = cluster.time.nowMs();
    const command = { kind: "claim", scope: `key-${at}`, bodyHash: "h", job: `job-${at}` } as const;
    const text = yield* forwarder.command(command, 5000);
    durationsMs.push(text === '{"claimed":true}' ? cluster.time.nowMs() - sentMs : Infinity);
  };
  cluster.start(
    (function* (): Task {
      for (let at = 0; ; at += 1) {
        cluster.start(claim(at));
        yield* sleep(clock, claimIntervalMs);
      }
    })(),
  );
  return durationsMs;
};

test("on links and processors of the grown size, a configuration of 2,500 routes and a storm of changes hold up neither each other nor keyed writes, and cost no leader its lead", () => {
  const cluster = createCluster();
  const electionsBefore = cluster.electionCount;
  expect(cluster.submitUntilFinal(createLargeConfig(2500), 6)).toBe(200);
  cluster.wait(2000);
  const edges = cluster.machines.filter(({ disk }) => !disk);
  const claimDurationsMs = startClaims(cluster);
  for (let version = 1; version <= 10; version += 1) {
    const edge = edges[version % edges.length] ?? cluster.at(0);
    const change = patchConfig(version, version + 1, { name: `s${version}`, svc: "one" });
    const request = cluster.submit(edge, change);
    cluster.until(() => request.code !== undefined, ackMs);
    expect(request.code).toBe(200);
    const isBehind = ({ daemon }: StageMachine): boolean =>
      daemon?.servingState.isGranted !== true || daemon.servingState.configSequence < version + 1;
    cluster.until(() => !edges.some(isBehind), applyMs);
  }
  expect(cluster.electionCount).toBe(electionsBefore);
  expect(claimDurationsMs.length).toBeGreaterThan(20);
  expect(Math.max(...claimDurationsMs)).toBeLessThan(claimTimeoutMs);
}, 120_000);
