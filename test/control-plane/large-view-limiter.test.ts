import { describe, expect, test } from "vitest";
import { deriveBounds } from "../../src/daemon/bounds.js";
import { EventGate } from "../../src/simulation/event-gate.js";
import { PollingDaemon } from "./polling-daemon.js";
import { DelayedNetwork } from "./delayed-network.js";
import { virtualRuntime } from "../../src/simulation/virtual-runtime.js";
import { LargeViewLimiter } from "../../src/control-plane/large-view-limiter.js";
import type { WatchRequest } from "../../src/control-protocol/watch-request.js";
import { rpcMethods } from "../../src/rpc/rpc-method.js";
import { RandomDraw } from "../../src/simulation/random-draw.js";
import { ClusterFixture } from "../replication/fleet-stage.js";
import { createTestCluster } from "./control-plane-stage.js";

const createWatchRequest = (incarnation: string, configSequence: number): WatchRequest => ({
  machine: { name: "m", zone: "z", roles: [], peer: "p", incarnation, draining: false },
  configSequence,
  directorySequence: 1,
  grantNumber: "",
  capacities: [],
  wished: [],
  refused: [],
});

describe("LargeViewLimiter", () => {
  test("a large view counts as in transit for the initial time, for twice that after a resend, and not for another incarnation or state", () => {
    const views = new LargeViewLimiter(1000);
    expect(views.isInTransit(createWatchRequest("one", 0), 0)).toBe(false);
    views.recordSent(createWatchRequest("one", 0), 0);
    expect(views.isInTransit(createWatchRequest("one", 0), 999)).toBe(true);
    expect(views.isInTransit(createWatchRequest("two", 0), 999)).toBe(false);
    expect(views.isInTransit(createWatchRequest("one", 1), 999)).toBe(false);
    expect(views.isInTransit(createWatchRequest("one", 0), 1000)).toBe(false);
    views.recordSent(createWatchRequest("one", 0), 1000);
    expect(views.isInTransit(createWatchRequest("one", 0), 2999)).toBe(true);
    expect(views.isInTransit(createWatchRequest("one", 0), 3000)).toBe(false);
    views.recordSent(createWatchRequest("one", 1), 3000);
    expect(views.isInTransit(createWatchRequest("one", 1), 4000)).toBe(false);
    views.recordSent(createWatchRequest("one", 1), 4000);
    views.reset();
    expect(views.isInTransit(createWatchRequest("one", 1), 4001)).toBe(false);
  });

  // Guards against repeated copies of a large view on a slow link, each of which delays the next one.
  test("the leader sends a large view once to a daemon that retries at once", () => {
    const { exchange, watchRequestText, watch, daemons, wait } = createTestCluster({
      maxWatchWaitMs: 50,
    });
    const [edge] = daemons(1);
    const draw = RandomDraw.of(7);
    const routes = Object.fromEntries(
      Array.from({ length: 600 }, () => [
        `route-${draw()}`,
        { match: { path: `/${draw()}` }, service: "s" },
      ]),
    );
    edge?.daemon?.adminRequests.emit({
      clientRequest: {
        method: "PUT",
        target: "/config",
        headers: {},
        body: Buffer.from(JSON.stringify({ services: { s: {} }, routes })),
      },
      respond: () => undefined,
    });
    wait(600);
    const first = exchange(rpcMethods.watch, watchRequestText())[0]?.text ?? "";
    expect(first).toContain('"packedConfig"');
    for (let round = 0; round < 3; round += 1)
      expect(exchange(rpcMethods.watch, watchRequestText())[0]?.text).toContain("under way");
    expect(watch({ configSequence: 1 }).configSequence).toBe(1);
    wait(1600);
    expect(exchange(rpcMethods.watch, watchRequestText())[0]?.text).toContain('"packedConfig"');
  });

  // Guards against a lease that outlasts the one that the leader granted: counted from the response, it would end a transit
  // time too late.
  test("a daemon whose views take longer than the request timeout counts its lease from the time of the request", () => {
    const cluster = new ClusterFixture(["d:zone-1", "d:zone-2", "d:zone-3"], [0, 1, 2]);
    cluster.bootAll();
    cluster.wait(4000);
    const gate = new EventGate();
    const clock = gate.clock(cluster.virtualClock.clock());
    const wire = new DelayedNetwork(cluster.network.createInterface("far", gate), clock, () => 350);
    const runtime = virtualRuntime({ clock, network: wire, random: cluster.random });
    const bounds = deriveBounds({});
    const daemon = new PollingDaemon(
      runtime,
      { machine: "far", zone: "zone-9", peer: "10.9.0.1:7000" },
      [cluster.machineAt(0).peer],
      bounds,
    );
    daemon.start();
    cluster.wait(6000);
    expect(2 * 350).toBeGreaterThan(bounds.watchTimeoutMs);
    let pollsWithLease = 0;
    for (let poll = 0; poll < 100; poll += 1) {
      cluster.wait(40);
      if (daemon.clusterView.holdsLease) pollsWithLease += 1;
      expect(daemon.clusterView.leaseRemainingMs).toBeLessThanOrEqual(bounds.leaseMs - 700);
    }
    expect(pollsWithLease).toBeGreaterThan(95);
  });
});
