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
  test("an idle daemon's requests and views don't grow with the number of services: only demand names them", () => {
    const fleet = new ClusterFixture(["d:zone-1", "d:zone-2", "d:zone-3"], [0, 1, 2]);
    fleet.bootAll();
    fleet.wait(4000);
    const gate = new EventGate();
    const clock = gate.clock(fleet.virtualClock.clock());
    const wire = new DelayedNetwork(fleet.network.createInterface("one", gate), clock, () => 1);
    const runtime = virtualRuntime({ clock, network: wire, random: fleet.random });
    const daemon = new PollingDaemon(
      runtime,
      { machine: "one", zone: "zone-1", peer: "10.9.0.1:7000" },
      [fleet.machineAt(0).peer],
      deriveBounds({}),
    );
    daemon.start();
    fleet.wait(2000);
    const run = (task: Task<unknown>): void =>
      runTask(task, (error) => {
        throw error;
      });
    const bytesInASecond = (): { out: number; in: number } => {
      const before = { ...wire.totals };
      fleet.wait(2500);
      return {
        out: (wire.totals.bytesOut - before.bytesOut) / 2.5,
        in: (wire.totals.bytesIn - before.bytesIn) / 2.5,
      };
    };
    const bare = bytesInASecond();
    for (let at = 0; at < serviceCount; at += 1)
      run(
        daemon.heartbeat({
          address: `10.8.0.${at + 1}:80`,
          service: `service-${at}`,
          zone: "zone-1",
        }),
      );
    fleet.wait(1000);
    expect(daemon.clusterView.services.length).toBe(serviceCount);
    const many = bytesInASecond();
    expect(many.out - bare.out).toBeLessThan(serviceCount * 10);
    expect(many.in - bare.in).toBeLessThan(serviceCount * 10);
  });

  test("members and capacities that a request names aren't sent again", () => {
    const { watch, exchange, watchRequestText } = createTestCluster({ maxWatchWaitMs: 50 });
    const first = watch();
    const { members, grantNumber, configSequence, directorySequence } = first;
    expect(members?.recorders.length).toBeGreaterThan(2);
    expect(members?.collectors.length).toBeGreaterThan(2);
    const known = { configSequence, directorySequence, grantNumber };
    const text = exchange(
      rpcMethods.watch,
      watchRequestText({ ...known, membersDigest: members?.digest }),
      600,
    )[0]?.text;
    expect(text).toContain('"granted":true');
    expect(text).not.toMatch(/"members"|"capacities"/);
    expect(text?.length).toBeLessThan(260);
    const other = exchange(
      rpcMethods.watch,
      watchRequestText({ ...known, membersDigest: "another" }),
      600,
    )[0]?.text;
    expect(other).toContain('"members"');
  });
});
