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

const startPollingDaemons = (cluster: ClusterFixture, count: number): TestDaemon[] =>
  Array.from({ length: count }, (_, index) => {
    const zone = zoneOf(index, topology);
    const gate = new EventGate();
    const clock = gate.clock(cluster.virtualClock.clock());
    const name = `daemon-${index}`;
    const wire = new DelayedNetwork(cluster.network.createInterface(name, gate), clock, () =>
      oneWayMs(zone, "zone-1", topology),
    );
    const runtime = virtualRuntime({ clock, network: wire, random: cluster.random });
    const daemon = new PollingDaemon(
      runtime,
      { machine: name, zone, peer: `10.9.0.${index + 1}:7000` },
      [cluster.machineAt(0).peer],
      deriveBounds({}),
    );
    daemon.start();
    return { daemon, gate, wire, name };
  });

const run = (task: Task<unknown>): void =>
  runTask(task, (error) => {
    throw error;
  });

const sumBy = (
  testDaemons: readonly TestDaemon[],
  select: (testDaemon: TestDaemon) => number,
): number => testDaemons.reduce((sum, testDaemon) => sum + select(testDaemon), 0);

describe("control traffic", () => {
  test("daemons send watch requests, push counts and receive views at the configured rates", () => {
    const cluster = new ClusterFixture(["d:zone-1", "d:zone-2", "d:zone-3"], [0, 1, 2]);
    cluster.bootAll();
    cluster.wait(4000);
    const all = startPollingDaemons(cluster, daemonCount);
    cluster.waitUntil(() => all.every(({ daemon }) => daemon.clusterView.holdsLease), 5000);
    expect(all.filter(({ daemon }) => daemon.clusterView.holdsLease)).toHaveLength(daemonCount);
    cluster.wait(6000);

    const before = {
      watchRequests: sumBy(all, ({ daemon }) => daemon.clusterView.watchRequests),
      grants: sumBy(all, ({ daemon }) => daemon.clusterView.leaseRenewals),
      out: sumBy(all, ({ wire }) => wire.totals.messagesOut),
      back: sumBy(all, ({ wire }) => wire.totals.messagesIn),
    };
    cluster.wait(4000);
    const watchRequests =
      sumBy(all, ({ daemon }) => daemon.clusterView.watchRequests) - before.watchRequests;
    const out = sumBy(all, ({ wire }) => wire.totals.messagesOut) - before.out;
    const { watchIntervalMs, controlPlaneTimeouts } = deriveBounds({});
    const maxRoundTripMs = 2 * oneWayMs("zone-1", "zone-8", topology);
    expect(watchRequests).toBeGreaterThan(
      daemonCount *
        Math.floor(
          4000 / (watchIntervalMs + controlPlaneTimeouts.maxWatchWaitMs + maxRoundTripMs + 50),
        ),
    );
    expect(watchRequests).toBeLessThanOrEqual(daemonCount * Math.ceil(4000 / watchIntervalMs + 1));
    expect(
      Math.abs(
        watchRequests -
          (sumBy(all, ({ daemon }) => daemon.clusterView.leaseRenewals) - before.grants),
      ),
    ).toBeLessThanOrEqual(daemonCount);
    // The only other messages are pushes of counts, one every two seconds.
    expect(out - watchRequests).toBeGreaterThanOrEqual(daemonCount);
    expect(out - watchRequests).toBeLessThanOrEqual(daemonCount * 3);
    expect(
      Math.abs(out - (sumBy(all, ({ wire }) => wire.totals.messagesIn) - before.back)),
    ).toBeLessThanOrEqual(2 * daemonCount);
    expect(Math.max(...all.map(({ daemon }) => daemon.coveredEdges))).toBe(daemonCount);
  });

  test("configurations reach daemons in order, unresponsive daemons are logged by name, and backends without heartbeats are removed", () => {
    const cluster = new ClusterFixture(["d:zone-1", "d:zone-2", "d:zone-3"], [0, 1, 2]);
    cluster.bootAll();
    cluster.wait(4000);
    const all = startPollingDaemons(cluster, daemonCount);
    cluster.waitUntil(() => all.every(({ daemon }) => daemon.clusterView.holdsLease), 5000);

    const backends = Array.from({ length: 30 }, (_, index) => ({
      address: `10.8.0.${index + 1}:80`,
      service: `service-${index % serviceCount}`,
      zone: zoneOf(index, topology),
    }));
    const activeBackends = new Set(backends);
    const heartbeatResults = { known: 0, unknown: 0 };
    const heartbeat = function* (index: number): Task {
      const backend = backends[index];
      if (!backend) return;
      for (let round = 0; activeBackends.has(backend); round += 1) {
        const daemon = all[(index + round) % (daemonCount - 6)]?.daemon;
        if (daemon && (yield* daemon.heartbeat(backend))) heartbeatResults.known += 1;
        else heartbeatResults.unknown += 1;
        yield* waitFor<boolean>((done) =>
          cluster.virtualClock.clock().after(1000, () => done(true)),
        );
      }
    };
    for (const index of backends.keys()) run(heartbeat(index));
    const countKnownBackends = ({ daemon }: TestDaemon): number =>
      daemon.clusterView.services.reduce(
        (sum, service) => sum + daemon.clusterView.backendsOf(service).length,
        0,
      );
    cluster.waitUntil(
      () => all.every((testDaemon) => countKnownBackends(testDaemon) === backends.length),
      8000,
    );
    expect(all.map(countKnownBackends)).toEqual(all.map(() => backends.length));

    const sequencesByDaemon = new Map(all.map(({ name }) => [name, [0]]));
    for (let sequence = 1; sequence <= 3; sequence += 1) {
      const sender = all[sequence];
      if (sender)
        run(
          sender.daemon.command({
            kind: "put",
            changeId: `change-${sequence}`,
            value: createConfig({ services: serviceCount, routes: 9 }, sequence),
          }),
        );
      cluster.waitUntil(() => {
        for (const { name, daemon } of all) {
          const sequences = sequencesByDaemon.get(name);
          if (sequences && sequences.at(-1) !== daemon.clusterView.configSequence)
            sequences.push(daemon.clusterView.configSequence);
        }
        return all.every(({ daemon }) => daemon.clusterView.configSequence === sequence);
      }, 5000);
    }
    expect([...sequencesByDaemon.values()]).toEqual(all.map(() => [0, 1, 2, 3]));

    const killed = all.slice(-6);
    for (const { gate } of killed) gate.kill();
    for (const stoppedBackend of backends.slice(0, 4)) activeBackends.delete(stoppedBackend);
    cluster.wait(9000);
    const unresponsive = cluster.logLines.filter((line) => line.includes("daemon unresponsive"));
    expect(
      killed.filter(({ name }) => unresponsive.some((line) => line.includes(`"${name}"`))),
    ).toHaveLength(killed.length);
    expect(unresponsive).toHaveLength(killed.length);
    const remaining = all.slice(0, -6);
    expect(remaining.map(countKnownBackends)).toEqual(remaining.map(() => backends.length - 4));
    expect(heartbeatResults.unknown).toBe(0);
  });
});
