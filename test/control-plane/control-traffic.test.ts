import { describe, expect, test } from "vitest";
import { deriveBounds } from "../../src/daemon/bounds.js";
import { EventGate } from "../../src/simulation/event-gate.js";
import { PollingDaemon } from "./polling-daemon.js";
import { createConfig, oneWayMs, zoneOf } from "./topology.js";
import { DelayedNetwork } from "./delayed-network.js";
import { virtualRuntime } from "../../src/simulation/virtual-runtime.js";
import { type Task, runTask, waitFor } from "../../src/runtime/task.js";
import { ClusterFixture } from "../replication/fleet-stage.js";

const topology = { zones: 8, regions: 2 };
const daemonCount = 24;
const serviceCount = 3;

interface TestDaemon {
  readonly daemon: PollingDaemon;
  readonly gate: EventGate;
  readonly wire: DelayedNetwork;
  readonly name: string;
}

const startPollingDaemons = (stage: ClusterFixture, count: number): TestDaemon[] =>
  Array.from({ length: count }, (_, at) => {
    const zone = zoneOf(at, topology);
    const gate = new EventGate();
    const clock = gate.clock(stage.virtualClock.clock());
    const name = `daemon-${at}`;
    const wire = new DelayedNetwork(stage.network.createInterface(name, gate), clock, () =>
      oneWayMs(zone, "zone-1", topology),
    );
    const runtime = virtualRuntime({ clock, network: wire, random: stage.random });
    const daemon = new PollingDaemon(
      runtime,
      { machine: name, zone, peer: `10.9.0.${at + 1}:7000` },
      [stage.machineAt(0).peer],
      deriveBounds({}),
    );
    daemon.start();
    return { daemon, gate, wire, name };
  });

const run = (task: Task<unknown>): void =>
  runTask(task, (error) => {
    throw error;
  });

const sumBy = (all: readonly TestDaemon[], of: (one: TestDaemon) => number): number =>
  all.reduce((sum, one) => sum + of(one), 0);

describe("control traffic", () => {
  test("daemons send watch requests, push counts and receive views at the configured rates", () => {
    const stage = new ClusterFixture(["d:zone-1", "d:zone-2", "d:zone-3"], [0, 1, 2]);
    stage.bootAll();
    stage.wait(4000);
    const all = startPollingDaemons(stage, daemonCount);
    stage.waitUntil(() => all.every(({ daemon }) => daemon.clusterView.holdsLease), 5000);
    expect(all.filter(({ daemon }) => daemon.clusterView.holdsLease)).toHaveLength(daemonCount);
    stage.wait(6000);

    const before = {
      watchRequests: sumBy(all, ({ daemon }) => daemon.clusterView.watchRequests),
      grants: sumBy(all, ({ daemon }) => daemon.clusterView.leaseRenewals),
      out: sumBy(all, ({ wire }) => wire.totals.messagesOut),
      back: sumBy(all, ({ wire }) => wire.totals.messagesIn),
    };
    stage.wait(4000);
    const watchRequests =
      sumBy(all, ({ daemon }) => daemon.clusterView.watchRequests) - before.watchRequests;
    const out = sumBy(all, ({ wire }) => wire.totals.messagesOut) - before.out;
    const { watchIntervalMs: pollMs, controlPlaneTimeouts } = deriveBounds({});
    const farMs = 2 * oneWayMs("zone-1", "zone-8", topology);
    expect(watchRequests).toBeGreaterThan(
      daemonCount * Math.floor(4000 / (pollMs + controlPlaneTimeouts.maxWatchWaitMs + farMs + 50)),
    );
    expect(watchRequests).toBeLessThanOrEqual(daemonCount * Math.ceil(4000 / pollMs + 1));
    expect(
      Math.abs(
        watchRequests -
          (sumBy(all, ({ daemon }) => daemon.clusterView.leaseRenewals) - before.grants),
      ),
    ).toBeLessThanOrEqual(daemonCount);
    // Only watch requests are sent, and one push every two seconds.
    expect(out - watchRequests).toBeGreaterThanOrEqual(daemonCount);
    expect(out - watchRequests).toBeLessThanOrEqual(daemonCount * 3);
    expect(
      Math.abs(out - (sumBy(all, ({ wire }) => wire.totals.messagesIn) - before.back)),
    ).toBeLessThanOrEqual(2 * daemonCount);
    expect(Math.max(...all.map(({ daemon }) => daemon.coveredEdges))).toBe(daemonCount);
  });

  test("configurations reach daemons in order; unresponsive daemons are logged by name, backends without heartbeats removed", () => {
    const stage = new ClusterFixture(["d:zone-1", "d:zone-2", "d:zone-3"], [0, 1, 2]);
    stage.bootAll();
    stage.wait(4000);
    const all = startPollingDaemons(stage, daemonCount);
    stage.waitUntil(() => all.every(({ daemon }) => daemon.clusterView.holdsLease), 5000);

    const backEnds = Array.from({ length: 30 }, (_, at) => ({
      address: `10.8.0.${at + 1}:80`,
      service: `service-${at % serviceCount}`,
      zone: zoneOf(at, topology),
    }));
    const announcing = new Set(backEnds);
    const heard = { countKnownBackends: 0, unknown: 0 };
    const heartbeat = function* (at: number): Task {
      const backend = backEnds[at];
      if (!backend) return;
      for (let round = 0; announcing.has(backend); round += 1) {
        const daemon = all[(at + round) % (daemonCount - 6)]?.daemon;
        if (daemon && (yield* daemon.heartbeat(backend))) heard.countKnownBackends += 1;
        else heard.unknown += 1;
        yield* waitFor<boolean>((done) => stage.virtualClock.clock().after(1000, () => done(true)));
      }
    };
    for (const at of backEnds.keys()) run(heartbeat(at));
    const countKnownBackends = ({ daemon }: TestDaemon): number =>
      daemon.clusterView.services.reduce(
        (sum, service) => sum + daemon.clusterView.backendsOf(service).length,
        0,
      );
    stage.waitUntil(() => all.every((one) => countKnownBackends(one) === backEnds.length), 8000);
    expect(all.map(countKnownBackends)).toEqual(all.map(() => backEnds.length));

    const seen = new Map(all.map(({ name }) => [name, [0]]));
    for (let sequence = 1; sequence <= 3; sequence += 1) {
      const first = all[sequence];
      if (first)
        run(
          first.daemon.command({
            kind: "put",
            changeId: `change-${sequence}`,
            value: createConfig({ services: serviceCount, routes: 9 }, sequence),
          }),
        );
      stage.waitUntil(() => {
        for (const { name, daemon } of all) {
          const one = seen.get(name);
          if (one && one.at(-1) !== daemon.clusterView.configSequence)
            one.push(daemon.clusterView.configSequence);
        }
        return all.every(({ daemon }) => daemon.clusterView.configSequence === sequence);
      }, 5000);
    }
    expect([...seen.values()]).toEqual(all.map(() => [0, 1, 2, 3]));

    const killed = all.slice(-6);
    for (const { gate } of killed) gate.kill();
    for (const gone of backEnds.slice(0, 4)) announcing.delete(gone);
    stage.wait(9000);
    const unresponsive = stage.logLines.filter((line) => line.includes("daemon unresponsive"));
    expect(
      killed.filter(({ name }) => unresponsive.some((line) => line.includes(`"${name}"`))),
    ).toHaveLength(killed.length);
    expect(unresponsive).toHaveLength(killed.length);
    const left = all.slice(0, -6);
    expect(left.map(countKnownBackends)).toEqual(left.map(() => backEnds.length - 4));
    expect(heard.unknown).toBe(0);
  });
});
