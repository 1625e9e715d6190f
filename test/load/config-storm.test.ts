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
  const stage = new LimitedCluster([...machinesOf("d", 6), ...machinesOf("e", 30)], [0, 1, 2], {
    tolerate: { machines: 2, zones: 0 },
  });
  stage.bootAll();
  stage.wait(5000);
  return stage;
};

/** A daemon's way to the leader, on a machine of its own that is never short of anything. */
const createForwarder = (stage: LimitedCluster): CommandForwarder => {
  const runtime = virtualRuntime({
    clock: stage.virtualClock.clock(),
    network: stage.network.createInterface("caller", new EventGate()),
    random: stage.random,
  });
  const rpc = new RpcEndpoint(runtime, "10.0.9.9:7000");
  return new CommandForwarder(runtime, rpc, () => stage.diskMachines.map(({ peer }) => peer));
};

/** Claims one key after another, for as long as the stage runs; how long each claim took. */
const startClaims = (stage: LimitedCluster): number[] => {
  const tookMs: number[] = [];
  const clock = stage.virtualClock.clock();
  const forwarder = createForwarder(stage);
  const claim = function* (at: number): Task {
    const sentMs = stage.virtualClock.nowMs();
    const command = { kind: "claim", scope: `key-${at}`, bodyHash: "h", job: `job-${at}` } as const;
    const text = yield* forwarder.command(command, 5000);
    tookMs.push(text === '{"claimed":true}' ? stage.virtualClock.nowMs() - sentMs : Infinity);
  };
  stage.startTask(
    (function* (): Task {
      for (let at = 0; ; at += 1) {
        stage.startTask(claim(at));
        yield* sleep(clock, claimIntervalMs);
      }
    })(),
  );
  return tookMs;
};

test("on links and processors of the grown size, a configuration of 2,500 routes and a storm of changes hold up neither each other nor keyed writes, and cost no leader its lead", () => {
  const stage = createCluster();
  const leaders = stage.electionCount;
  expect(stage.submitUntilFinal(createLargeConfig(2500), 6)).toBe(200);
  stage.wait(2000);
  const edges = stage.machines.filter(({ disk }) => !disk);
  const claimsTookMs = startClaims(stage);
  for (let version = 1; version <= 10; version += 1) {
    const through = edges[version % edges.length] ?? stage.machineAt(0);
    const change = patchConfig(version, version + 1, { name: `s${version}`, svc: "one" });
    const call = stage.submit(through, change);
    stage.waitUntil(() => call.code !== undefined, ackMs);
    expect(call.code).toBe(200);
    const isBehind = ({ daemon }: FixtureMachine): boolean =>
      daemon?.servingState.isGranted !== true || daemon.servingState.configSequence < version + 1;
    stage.waitUntil(() => !edges.some(isBehind), applyMs);
  }
  expect(stage.electionCount).toBe(leaders);
  expect(claimsTookMs.length).toBeGreaterThan(20);
  expect(Math.max(...claimsTookMs)).toBeLessThan(claimTimeoutMs);
}, 120_000);
