import { describe, expect, test } from "vitest";
import { boundsOf } from "../../src/daemon/bounds.js";
import { EventGate } from "../../src/simulation/event-gate.js";
import { PollingDaemon } from "./polling-daemon.js";
import { configOf, oneWayMs, zoneOf } from "./topology.js";
import { DelayedNetwork } from "./delayed-network.js";
import { virtualRuntime } from "../../src/simulation/virtual-runtime.js";
import { type Task, runTask, waitFor } from "../../src/runtime/task.js";
import { FleetStage } from "../replication/fleet-stage.js";

const spread = { zones: 8, regions: 2 };
const many = 24;
const services = 3;

interface TestDaemon {
  readonly daemon: PollingDaemon;
  readonly gate: EventGate;
  readonly wire: DelayedNetwork;
  readonly name: string;
}

const pollingDaemons = (stage: FleetStage, count: number): TestDaemon[] =>
  Array.from({ length: count }, (_, at) => {
    const zone = zoneOf(at, spread);
    const gate = new EventGate();
    const clock = gate.clock(stage.time.clock());
    const name = `daemon-${at}`;
    const wire = new DelayedNetwork(stage.network.createInterface(name, gate), clock, () =>
      oneWayMs(zone, "zone-1", spread),
    );
    const runtime = virtualRuntime({ clock, network: wire, random: stage.random });
    const daemon = new PollingDaemon(
      runtime,
      { machine: name, zone, peer: `10.9.0.${at + 1}:7000` },
      [stage.at(0).peer],
      boundsOf({}),
    );
    daemon.start();
    return { daemon, gate, wire, name };
  });

const run = (task: Task<unknown>): void =>
  runTask(task, (error) => {
    throw error;
  });

const sumOf = (all: readonly TestDaemon[], of: (one: TestDaemon) => number): number =>
  all.reduce((sum, one) => sum + of(one), 0);

describe("control traffic", () => {
  test("daemons send watch requests, push counts and receive views at the configured rates", () => {
    const stage = new FleetStage(["d:zone-1", "d:zone-2", "d:zone-3"], [0, 1, 2]);
    stage.bootAll();
    stage.wait(4000);
    const all = pollingDaemons(stage, many);
    stage.until(() => all.every(({ daemon }) => daemon.clusterView.holdsLease), 5000);
    expect(all.filter(({ daemon }) => daemon.clusterView.holdsLease)).toHaveLength(many);
    stage.wait(6000);

    const before = {
      polls: sumOf(all, ({ daemon }) => daemon.clusterView.watchRequests),
      grants: sumOf(all, ({ daemon }) => daemon.clusterView.leaseRenewals),
      out: sumOf(all, ({ wire }) => wire.totals.messagesOut),
      back: sumOf(all, ({ wire }) => wire.totals.messagesIn),
    };
    stage.wait(4000);
    const polls = sumOf(all, ({ daemon }) => daemon.clusterView.watchRequests) - before.polls;
    const out = sumOf(all, ({ wire }) => wire.totals.messagesOut) - before.out;
    const { watchIntervalMs: pollMs, controlPlaneTimeouts } = boundsOf({});
    const farMs = 2 * oneWayMs("zone-1", "zone-8", spread);
    expect(polls).toBeGreaterThan(
      many * Math.floor(4000 / (pollMs + controlPlaneTimeouts.holdMs + farMs + 50)),
    );
    expect(polls).toBeLessThanOrEqual(many * Math.ceil(4000 / pollMs + 1));
    expect(
      Math.abs(
        polls - (sumOf(all, ({ daemon }) => daemon.clusterView.leaseRenewals) - before.grants),
      ),
    ).toBeLessThanOrEqual(many);
    // Only watch requests are sent, and one push every two seconds.
    expect(out - polls).toBeGreaterThanOrEqual(many);
    expect(out - polls).toBeLessThanOrEqual(many * 3);
    expect(
      Math.abs(out - (sumOf(all, ({ wire }) => wire.totals.messagesIn) - before.back)),
    ).toBeLessThanOrEqual(2 * many);
    expect(Math.max(...all.map(({ daemon }) => daemon.coverage))).toBe(many);
  });

  test("configurations reach daemons in order; unresponsive daemons are logged by name, backends without heartbeats removed", () => {
    const stage = new FleetStage(["d:zone-1", "d:zone-2", "d:zone-3"], [0, 1, 2]);
    stage.bootAll();
    stage.wait(4000);
    const all = pollingDaemons(stage, many);
    stage.until(() => all.every(({ daemon }) => daemon.clusterView.holdsLease), 5000);

    const backEnds = Array.from({ length: 30 }, (_, at) => ({
      address: `10.8.0.${at + 1}:80`,
      service: `service-${at % services}`,
      zone: zoneOf(at, spread),
    }));
    const announcing = new Set(backEnds);
    const heard = { known: 0, unknown: 0 };
    const heartbeat = function* (at: number): Task {
      const backend = backEnds[at];
      if (!backend) return;
      for (let round = 0; announcing.has(backend); round += 1) {
        const daemon = all[(at + round) % (many - 6)]?.daemon;
        if (daemon && (yield* daemon.heartbeat(backend))) heard.known += 1;
        else heard.unknown += 1;
        yield* waitFor<boolean>((done) => stage.time.clock().after(1000, () => done(true)));
      }
    };
    for (const at of backEnds.keys()) run(heartbeat(at));
    const known = ({ daemon }: TestDaemon): number =>
      daemon.clusterView.services.reduce(
        (sum, service) => sum + daemon.clusterView.backendsOf(service).length,
        0,
      );
    stage.until(() => all.every((one) => known(one) === backEnds.length), 8000);
    expect(all.map(known)).toEqual(all.map(() => backEnds.length));

    const seen = new Map(all.map(({ name }) => [name, [0]]));
    for (let sequence = 1; sequence <= 3; sequence += 1) {
      const first = all[sequence];
      if (first)
        run(
          first.daemon.command({
            kind: "put",
            changeId: `change-${sequence}`,
            value: configOf({ services, routes: 9 }, sequence),
          }),
        );
      stage.until(() => {
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
    const unresponsive = stage.lines.filter((line) => line.includes("daemon unresponsive"));
    expect(
      killed.filter(({ name }) => unresponsive.some((line) => line.includes(`"${name}"`))),
    ).toHaveLength(killed.length);
    expect(unresponsive).toHaveLength(killed.length);
    const left = all.slice(0, -6);
    expect(left.map(known)).toEqual(left.map(() => backEnds.length - 4));
    expect(heard.unknown).toBe(0);
  });
});
