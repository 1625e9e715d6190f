import { describe, expect, test, vi } from "vitest";
import { CommandForwarder } from "../../src/cluster-view/command-forwarder.js";
import { ControlPlane } from "../../src/control-plane/control-plane.js";
import { ClusterView } from "../../src/cluster-view/cluster-view.js";
import { rpcMethods } from "../../src/rpc/rpc-method.js";
import { runTask } from "../../src/runtime/task.js";
import { RetryBudget } from "../../src/retry-budget/retry-budget.js";
import { address, rethrow, service, createTestCluster } from "./control-plane-stage.js";

describe("EndpointRegistry", () => {
  test("an instance that left, was replaced or is draining never registers again, however late its heartbeats are", () => {
    const { command, heartbeat, registration } = createTestCluster();
    expect(heartbeat("one")).toContain('"taken"');
    expect(command({ kind: "leave", instance: "one" })).toBe('{"known":true}');
    expect(heartbeat("one")).toContain('"gone"');
    expect(registration()).toMatchObject({ instance: "one", leaving: true });
    expect(heartbeat("two", { capacity: 3 })).toContain('"taken"');
    expect(registration()).toMatchObject({ instance: "two", leaving: false, capacity: 3 });
    expect(heartbeat("three")).toContain('"taken"');
    expect(heartbeat("two")).toContain('"gone"');
    expect(registration()).toMatchObject({ instance: "three", leaving: false });
    expect(heartbeat("three", { draining: true })).toContain('"gone"');
    expect(registration()).toMatchObject({ instance: "three", leaving: true });
    expect(heartbeat("three", { draining: false })).toContain('"gone"');
    expect(registration()).toMatchObject({ instance: "three", leaving: true });
    expect(heartbeat("two", { draining: true })).toContain('"gone"');
    expect(command({ kind: "leave", instance: "one" })).toBe('{"known":true}');
  });

  test("an instance whose registration ended registers again under a new number", () => {
    const { heartbeat, watch, registration, wait } = createTestCluster();
    heartbeat("one");
    const number = registration()?.number ?? -1;
    watch({ refused: [{ address, number }] });
    wait(300);
    expect(registration()).toMatchObject({ leaving: true });
    expect(heartbeat("one", { seen: number })).toContain('"overtaken"');
    expect(heartbeat("one")).toContain('"taken"');
    expect(registration()?.leaving).toBe(false);
    expect(registration()?.number).toBeGreaterThan(number);
  });

  test("an instance that moves is registered at one address; a change of its capacity keeps the registration's number", () => {
    const { heartbeat, registration } = createTestCluster();
    heartbeat("one", { capacity: 2 });
    const number = registration()?.number;
    expect(heartbeat("one", { capacity: 5 })).toContain('"taken"');
    expect(registration()).toMatchObject({ number, capacity: 5 });
    heartbeat("one", { address: "10.9.0.2:80" });
    expect(registration()?.leaving).toBe(true);
    expect(registration("10.9.0.2:80")).toMatchObject({ instance: "one", leaving: false });
  });

  test("an unknown instance that leaves isn't registered by a late heartbeat", () => {
    const { command, heartbeat, registration } = createTestCluster();
    expect(command({ kind: "leave", instance: "one" })).toBe('{"known":false}');
    expect(heartbeat("one")).toContain('"gone"');
    expect(heartbeat("two", { draining: true })).toContain('"gone"');
    expect(heartbeat("two")).toContain('"gone"');
    expect(registration()).toBeUndefined();
  });

  test("heartbeats older than the newest one change nothing, at whichever daemon they arrive", () => {
    const { daemons, post, registration, wait } = createTestCluster();
    const [one, two] = daemons(2);
    const heartbeatBody = { service, address, zone: "x", instance: "life-1", capacity: 2 };
    const heartbeat = (at: typeof one, more: Record<string, unknown>): string =>
      post(at, "/backends/announce", { ...heartbeatBody, ...more }).text;
    expect(heartbeat(one, { order: 5 })).toContain('"taken"');
    wait(1000);
    expect(heartbeat(two, { order: 3, zone: "y" })).toContain('"overtaken"');
    expect(heartbeat(one, { order: 4, zone: "y" })).toContain('"overtaken"');
    expect(heartbeat(one, { order: 9 })).toContain('"known"');
    wait(500);
    expect(heartbeat(two, { order: 7, zone: "y" })).toContain('"overtaken"');
    expect(registration()).toMatchObject({ zone: "x", leaving: false });
    expect(heartbeat(two, { order: 11, zone: "y" })).toContain('"taken"');
    expect(registration()).toMatchObject({ zone: "y" });
  });

  test("an acknowledged deregistration survives the leader's immediate loss of power, and a snapshot", () => {
    for (const seed of [1, 2, 3]) {
      const { simulation, leader, daemons, post, registration, wait } = createTestCluster({}, seed);
      const [one, two] = daemons(2);
      const heartbeatBody = { service, address, zone: "x", instance: "life-1" };
      post(one, "/backends/announce", heartbeatBody);
      expect(
        post(one, "/backends/announce", { ...heartbeatBody, order: 2, draining: true }, 60),
      ).toMatchObject({ code: 200 });
      expect(post(one, "/backends/leave", { instance: "life-2" }, 60)).toMatchObject({ code: 200 });
      const former = leader();
      simulation.kill(former, true);
      wait(4000);
      simulation.boot(former);
      for (const instance of ["life-1", "life-2"])
        expect(
          post(two, "/backends/announce", { ...heartbeatBody, instance, order: 9 }).text,
        ).toContain('"gone"');
      expect(registration()?.leaving ?? true).toBe(true);
    }
  });

  test("daemons respond to heartbeats that change nothing and report them in watch requests; registrations without heartbeats end", () => {
    const { daemons, post, registration, wait } = createTestCluster();
    const [one, two] = daemons(2);
    const heartbeatBody = { service, address, zone: "x", instance: "life-1", capacity: 2 };
    post(one, "/backends/announce", { ...heartbeatBody, order: 1 });
    wait(700);
    const number = registration()?.number;
    const commandSpy = vi.spyOn(ControlPlane.prototype, "command");
    for (let order = 2; order < 22; order += 1)
      expect(
        post(order % 2 === 0 ? one : two, "/backends/announce", { ...heartbeatBody, order }, 1000)
          .text,
      ).toContain('"known"');
    expect(commandSpy.mock.calls.filter(([text]) => text.includes("announce"))).toEqual([]);
    commandSpy.mockRestore();
    expect(registration()).toMatchObject({ number, leaving: false });
    wait(1500);
    expect(registration()?.leaving).toBe(false);
    wait(1800);
    expect(registration()).toMatchObject({ number, leaving: true });
    expect(post(two, "/backends/announce", { ...heartbeatBody, order: 30 }).text).toContain(
      '"taken"',
    );
  });

  test("a heartbeat whose report was lost is reported with a later watch request", () => {
    const { simulation, daemons, post, registration, wait } = createTestCluster();
    const [one] = daemons(1);
    const heartbeatBody = { service, address, zone: "x", instance: "life-1" };
    post(one, "/backends/announce", heartbeatBody);
    wait(1700);
    const name = one?.settings.machine ?? "";
    post(one, "/backends/announce", heartbeatBody, 0);
    for (const { settings } of simulation.machines)
      simulation.network.partition(name, settings.machine);
    wait(700);
    simulation.network.disconnect(name);
    simulation.network.healAll();
    wait(1700);
    expect(registration()?.leaving).toBe(false);
  });

  test("malformed heartbeats and deregistrations are refused with reasons, and without a leader the response comes soon", () => {
    const { simulation, daemons, post } = createTestCluster();
    const [one] = daemons(1);
    const heartbeatBody = { service, address, zone: "x", instance: "life-1" };
    const faults = (told: { code: number; text: string }): string => `${told.code} ${told.text}`;
    expect(
      faults(post(one, "/backends/announce", { ...heartbeatBody, capacity: -1, draining: "yes" })),
    ).toMatch(/^400 .*capacity.*draining/);
    expect(faults(post(one, "/backends/announce", { ...heartbeatBody, instance: "" }))).toMatch(
      /^400 .*instance/,
    );
    expect(faults(post(one, "/backends/leave", { instance: 7 }))).toMatch(/^400 .*instance/);
    expect(faults(post(one, "/backends/leave", { service }))).toMatch(/^400 .*address/);
    for (const machine of simulation.machines)
      if (machine.settings.callers === undefined) simulation.kill(machine);
    expect(post(one, "/backends/announce", heartbeatBody, 990).code).toBe(503);
  });

  test("a buffered watch request is released when the registrations change, and after its timeout when nothing does", () => {
    const { simulation, heartbeat, exchange, watch, watchRequestText } = createTestCluster({
      maxWatchWaitMs: 250,
    });
    heartbeat("one");
    const { directorySequence, configSequence } = watch();
    const upToDate = watchRequestText({ directorySequence, configSequence });
    const beganMs = simulation.virtualClock.nowMs();
    const unchangedMs = exchange(rpcMethods.watch, upToDate, 600)[0]?.atMs ?? Infinity;
    expect(unchangedMs - beganMs).toBeGreaterThan(240);
    expect(unchangedMs - beganMs).toBeLessThan(350);
    const sentMs = simulation.virtualClock.nowMs();
    const returns = exchange(rpcMethods.watch, upToDate, 60);
    expect(returns).toEqual([]);
    const before = simulation.virtualClock.nowMs();
    heartbeat("two");
    expect(returns[0]?.text).toContain('"instance":"two"');
    expect((returns[0]?.atMs ?? Infinity) - before).toBeLessThan(150);
    expect((returns[0]?.atMs ?? Infinity) - sentMs).toBeLessThan(240);
    expect(simulation.machines.every(({ daemon }) => daemon?.servingState.isGranted)).toBe(true);
  });

  test("a watch request that is buffered while its leader is partitioned gets no lease", () => {
    const { simulation, leader, exchange, watch, watchRequestText } = createTestCluster({
      maxWatchWaitMs: 900,
    });
    const { directorySequence, configSequence } = watch();
    const name = leader().settings.machine;
    const returns = exchange(
      rpcMethods.watch,
      watchRequestText({ directorySequence, configSequence }),
      50,
    );
    for (const { settings } of simulation.machines) {
      simulation.network.partition(name, settings.machine);
      simulation.network.partition(settings.machine, name);
    }
    simulation.virtualClock.runUntil(simulation.virtualClock.nowMs() + 1200);
    expect(returns[0]?.text).toContain('"breakdown"');
  });

  test("a tombstone expires after its time, unless its instance still sends heartbeats", () => {
    const { command, heartbeat, wait } = createTestCluster({ tombstoneMs: 4000 });
    command({ kind: "leave", instance: "one" });
    command({ kind: "leave", instance: "two" });
    for (let round = 0; round < 8; round += 1) {
      expect(heartbeat("one")).toContain('"gone"');
      wait(700);
    }
    expect(heartbeat("one")).toContain('"gone"');
    expect(heartbeat("two")).toContain('"taken"');
  });

  test("a view finds registrations by service, number and instance, and excludes those that refused connections", () => {
    const { runtime, rpc, leader, heartbeat, wait, simulation } = createTestCluster();
    heartbeat("one");
    heartbeat("two", { address: "10.9.0.2:80" });
    const forwarder = new CommandForwarder(runtime, rpc, () => [leader().settings.peers]);
    const clusterView = new ClusterView(
      runtime,
      forwarder,
      () => ({
        name: "stranger",
        zone: "x",
        roles: [],
        peer: "stranger",
        incarnation: "two",
        draining: false,
      }),
      new RetryBudget(),
    );
    runTask(clusterView.run(200), rethrow);
    wait(500);
    const [one, two] = ["one", "two"].map((instance) => clusterView.registrationOf(instance));
    if (!one || !two) throw new Error("A registration is missing.");
    expect(clusterView.backendsOf(service)).toEqual([one, two]);
    expect([
      clusterView.isRegistered(one),
      clusterView.isRegistered({ ...two, number: 0 }),
    ]).toEqual([true, false]);
    clusterView.markRefused(one);
    expect([clusterView.isRegistered(one), clusterView.backendsOf(service)]).toEqual([
      false,
      [two],
    ]);
    wait(1000);
    expect(clusterView.registrationOf("one")).toMatchObject({ leaving: true });
    expect(simulation.machines.length).toBeGreaterThan(0);
  });

  test("a heartbeat through a daemon with older registrations isn't acknowledged, through an updated daemon it is", () => {
    const { heartbeat, watch, registration, wait } = createTestCluster();
    heartbeat("one", { order: 1 });
    const number = registration()?.number ?? -1;
    watch({ refused: [{ address, number }] });
    wait(300);
    expect(heartbeat("one", { order: 2, seen: number })).toContain('"behind"');
    expect(registration()?.leaving).toBe(true);
    expect(heartbeat("one", { order: 2 })).toContain('"taken"');
    expect(registration()?.leaving).toBe(false);
  });
});
