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
  test("a large view is in transit for a while, for twice that the next time, and not for another incarnation or state", () => {
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

  test("the leader sends a large view once to a daemon that retries at once", () => {
    const { exchange, watchRequestText, watch, daemons, wait } = createTestCluster({
      maxWatchWaitMs: 50,
    });
    const [one] = daemons(1);
    const draw = RandomDraw.of(7);
    const routes = Object.fromEntries(
      Array.from({ length: 600 }, () => [
        `route-${draw()}`,
        { match: { path: `/${draw()}` }, service: "s" },
      ]),
    );
    one?.daemon?.adminRequests.emit({
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

  test("a daemon whose views take longer than the request timeout has its lease from the sending of the request", () => {
    const fleet = new ClusterFixture(["d:zone-1", "d:zone-2", "d:zone-3"], [0, 1, 2]);
    fleet.bootAll();
    fleet.wait(4000);
    const gate = new EventGate();
    const clock = gate.clock(fleet.virtualClock.clock());
    const wire = new DelayedNetwork(fleet.network.createInterface("far", gate), clock, () => 350);
    const runtime = virtualRuntime({ clock, network: wire, random: fleet.random });
    const bounds = deriveBounds({});
    const daemon = new PollingDaemon(
      runtime,
      { machine: "far", zone: "zone-9", peer: "10.9.0.1:7000" },
      [fleet.machineAt(0).peer],
      bounds,
    );
    daemon.start();
    fleet.wait(6000);
    expect(2 * 350).toBeGreaterThan(bounds.watchTimeoutMs);
    let granted = 0;
    for (let at = 0; at < 100; at += 1) {
      fleet.wait(40);
      if (daemon.clusterView.holdsLease) granted += 1;
      expect(daemon.clusterView.leaseRemainingMs).toBeLessThanOrEqual(bounds.leaseMs - 700);
    }
    expect(granted).toBeGreaterThan(95);
  });
});
