import { describe, expect, test } from "vitest";
import { deriveBounds } from "../../src/daemon/bounds.js";
import { rpcMethods } from "../../src/rpc/rpc-method.js";
import { EventGate } from "../../src/simulation/event-gate.js";
import { PollingDaemon } from "./polling-daemon.js";
import { DelayedNetwork } from "./delayed-network.js";
import { virtualRuntime } from "../../src/simulation/virtual-runtime.js";
import { type Task, runTask } from "../../src/runtime/task.js";
import { ClusterFixture } from "../replication/fleet-stage.js";
import { createTestCluster } from "./control-plane-stage.js";

const serviceCount = 40;

describe("watch traffic", () => {
  test("an idle daemon's requests and views don't grow with the number of services, since they name only services with demand", () => {
    const cluster = new ClusterFixture(["d:zone-1", "d:zone-2", "d:zone-3"], [0, 1, 2]);
    cluster.bootAll();
    cluster.wait(4000);
    const gate = new EventGate();
    const clock = gate.clock(cluster.virtualClock.clock());
    const wire = new DelayedNetwork(cluster.network.createInterface("one", gate), clock, () => 1);
    const runtime = virtualRuntime({ clock, network: wire, random: cluster.random });
    const daemon = new PollingDaemon(
      runtime,
      { machine: "one", zone: "zone-1", peer: "10.9.0.1:7000" },
      [cluster.machineAt(0).peer],
      deriveBounds({}),
    );
    daemon.start();
    cluster.wait(2000);
    const run = (task: Task<unknown>): void =>
      runTask(task, (error) => {
        throw error;
      });
    const measureBytesPerSecond = (): { out: number; in: number } => {
      const before = { ...wire.totals };
      cluster.wait(2500);
      return {
        out: (wire.totals.bytesOut - before.bytesOut) / 2.5,
        in: (wire.totals.bytesIn - before.bytesIn) / 2.5,
      };
    };
    const withoutServices = measureBytesPerSecond();
    for (let index = 0; index < serviceCount; index += 1)
      run(
        daemon.heartbeat({
          address: `10.8.0.${index + 1}:80`,
          service: `service-${index}`,
          zone: "zone-1",
        }),
      );
    cluster.wait(1000);
    expect(daemon.clusterView.services.length).toBe(serviceCount);
    const withServices = measureBytesPerSecond();
    expect(withServices.out - withoutServices.out).toBeLessThan(serviceCount * 10);
    expect(withServices.in - withoutServices.in).toBeLessThan(serviceCount * 10);
  });

  test("members and capacities that a request names aren't sent again", () => {
    const { watch, exchange, watchRequestText } = createTestCluster({ maxWatchWaitMs: 50 });
    const first = watch();
    const { members, grantNumber, configSequence, directorySequence } = first;
    expect(members?.recorders.length).toBeGreaterThan(2);
    expect(members?.collectors.length).toBeGreaterThan(2);
    const knownState = { configSequence, directorySequence, grantNumber };
    const text = exchange(
      rpcMethods.watch,
      watchRequestText({ ...knownState, membersDigest: members?.digest }),
      600,
    )[0]?.text;
    expect(text).toContain('"granted":true');
    expect(text).not.toMatch(/"members"|"capacities"/);
    expect(text?.length).toBeLessThan(260);
    const textForOtherDigest = exchange(
      rpcMethods.watch,
      watchRequestText({ ...knownState, membersDigest: "another" }),
      600,
    )[0]?.text;
    expect(textForOtherDigest).toContain('"members"');
  });
});
