import { describe, expect, test, vi } from "vitest";
import { CommandForwarder } from "../../src/cluster-view/command-forwarder.js";
import { ControlPlane } from "../../src/control-plane/control-plane.js";
import { ClusterView } from "../../src/cluster-view/cluster-view.js";
import { rpcMethods } from "../../src/rpc/rpc-method.js";
import { runTask } from "../../src/runtime/task.js";
import { RetryBudget } from "../../src/retry-budget/retry-budget.js";
import { address, rethrow, service, createTestCluster } from "./control-plane-stage.js";

describe("EndpointRegistry", () => {
  test("an instance that left, was replaced or is draining isn't registered again by delayed heartbeats", () => {
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

  test("heartbeats older than the newest one are ignored at every daemon", () => {
    const { daemons, post, registration, wait } = createTestCluster();
    const [firstDaemon, secondDaemon] = daemons(2);
    const heartbeatBody = { service, address, zone: "x", instance: "life-1", capacity: 2 };
    const heartbeat = (daemon: typeof firstDaemon, overrides: Record<string, unknown>): string =>
      post(daemon, "/backends/announce", { ...heartbeatBody, ...overrides }).text;
    expect(heartbeat(firstDaemon, { order: 5 })).toContain('"taken"');
    wait(1000);
    expect(heartbeat(secondDaemon, { order: 3, zone: "y" })).toContain('"overtaken"');
    expect(heartbeat(firstDaemon, { order: 4, zone: "y" })).toContain('"overtaken"');
    expect(heartbeat(firstDaemon, { order: 9 })).toContain('"known"');
    wait(500);
    expect(heartbeat(secondDaemon, { order: 7, zone: "y" })).toContain('"overtaken"');
    expect(registration()).toMatchObject({ zone: "x", leaving: false });
    expect(heartbeat(secondDaemon, { order: 11, zone: "y" })).toContain('"taken"');
    expect(registration()).toMatchObject({ zone: "y" });
  });

  test("an acknowledged deregistration survives the leader's immediate loss of power, and a snapshot", () => {
    for (const seed of [1, 2, 3]) {
      const { simulation, leader, daemons, post, registration, wait } = createTestCluster({}, seed);
      const [firstDaemon, secondDaemon] = daemons(2);
      const heartbeatBody = { service, address, zone: "x", instance: "life-1" };
      post(firstDaemon, "/backends/announce", heartbeatBody);
      expect(
        post(firstDaemon, "/backends/announce", { ...heartbeatBody, order: 2, draining: true }, 60),
      ).toMatchObject({ code: 200 });
      expect(post(firstDaemon, "/backends/leave", { instance: "life-2" }, 60)).toMatchObject({
        code: 200,
      });
      const formerLeader = leader();
      simulation.kill(formerLeader, true);
      wait(4000);
      simulation.boot(formerLeader);
      for (const instance of ["life-1", "life-2"])
        expect(
          post(secondDaemon, "/backends/announce", { ...heartbeatBody, instance, order: 9 }).text,
        ).toContain('"gone"');
      expect(registration()?.leaving ?? true).toBe(true);
    }
  });

  test("daemons respond to heartbeats that change nothing and report them in watch requests; registrations without heartbeats end", () => {
    const { daemons, post, registration, wait } = createTestCluster();
    const [firstDaemon, secondDaemon] = daemons(2);
    const heartbeatBody = { service, address, zone: "x", instance: "life-1", capacity: 2 };
    post(firstDaemon, "/backends/announce", { ...heartbeatBody, order: 1 });
    wait(700);
    const number = registration()?.number;
    const commandSpy = vi.spyOn(ControlPlane.prototype, "command");
    for (let order = 2; order < 22; order += 1)
      expect(
        post(
          order % 2 === 0 ? firstDaemon : secondDaemon,
          "/backends/announce",
          { ...heartbeatBody, order },
          1000,
        ).text,
      ).toContain('"known"');
    expect(commandSpy.mock.calls.filter(([text]) => text.includes("announce"))).toEqual([]);
    commandSpy.mockRestore();
    expect(registration()).toMatchObject({ number, leaving: false });
    wait(1500);
    expect(registration()?.leaving).toBe(false);
    wait(1800);
    expect(registration()).toMatchObject({ number, leaving: true });
    expect(
      post(secondDaemon, "/backends/announce", { ...heartbeatBody, order: 30 }).text,
    ).toContain('"taken"');
  });

  // Guards against the expiry of a live backend: its daemon acknowledges the heartbeat itself, and the watch request that
  // reports it to the leader is lost in a partition.
  test("a heartbeat whose report was lost is reported again with a later watch request", () => {
    const { simulation, daemons, post, registration, wait } = createTestCluster();
    const [firstDaemon] = daemons(1);
    const heartbeatBody = { service, address, zone: "x", instance: "life-1" };
    post(firstDaemon, "/backends/announce", heartbeatBody);
    wait(1700);
    const name = firstDaemon?.settings.machine ?? "";
    post(firstDaemon, "/backends/announce", heartbeatBody, 0);
    for (const { settings } of simulation.machines)
      simulation.network.partition(name, settings.machine);
    wait(700);
    simulation.network.disconnect(name);
    simulation.network.healAll();
    wait(1700);
    expect(registration()?.leaving).toBe(false);
  });

  test("malformed heartbeats and deregistrations are refused with reasons, and heartbeats get a prompt error without a leader", () => {
    const { simulation, daemons, post } = createTestCluster();
    const [firstDaemon] = daemons(1);
    const heartbeatBody = { service, address, zone: "x", instance: "life-1" };
    const formatResponse = (response: { code: number; text: string }): string =>
      `${response.code} ${response.text}`;
    expect(
      formatResponse(
        post(firstDaemon, "/backends/announce", {
          ...heartbeatBody,
          capacity: -1,
          draining: "yes",
        }),
      ),
    ).toMatch(/^400 .*capacity.*draining/);
    expect(
      formatResponse(post(firstDaemon, "/backends/announce", { ...heartbeatBody, instance: "" })),
    ).toMatch(/^400 .*instance/);
    expect(formatResponse(post(firstDaemon, "/backends/leave", { instance: 7 }))).toMatch(
      /^400 .*instance/,
    );
    expect(formatResponse(post(firstDaemon, "/backends/leave", { service }))).toMatch(
      /^400 .*address/,
    );
    for (const machine of simulation.machines)
      if (machine.settings.callers === undefined) simulation.kill(machine);
    expect(post(firstDaemon, "/backends/announce", heartbeatBody, 990).code).toBe(503);
  });

  test("a buffered watch request is released when the registrations change, and after its timeout when nothing does", () => {
    const { simulation, heartbeat, exchange, watch, watchRequestText } = createTestCluster({
      maxWatchWaitMs: 250,
    });
    heartbeat("one");
    const { directorySequence, configSequence } = watch();
    const upToDate = watchRequestText({ directorySequence, configSequence });
    const startMs = simulation.virtualClock.nowMs();
    const unchangedMs = exchange(rpcMethods.watch, upToDate, 600)[0]?.atMs ?? Infinity;
    expect(unchangedMs - startMs).toBeGreaterThan(240);
    expect(unchangedMs - startMs).toBeLessThan(350);
    const sentMs = simulation.virtualClock.nowMs();
    const responses = exchange(rpcMethods.watch, upToDate, 60);
    expect(responses).toEqual([]);
    const changedAtMs = simulation.virtualClock.nowMs();
    heartbeat("two");
    expect(responses[0]?.text).toContain('"instance":"two"');
    expect((responses[0]?.atMs ?? Infinity) - changedAtMs).toBeLessThan(150);
    expect((responses[0]?.atMs ?? Infinity) - sentMs).toBeLessThan(240);
    expect(simulation.machines.every(({ daemon }) => daemon?.servingState.isGranted)).toBe(true);
  });

  // Guards against a lease from a deposed leader: the leader's own lease ends while it buffers the request.
  test("a watch request that is buffered while its leader is partitioned gets no lease", () => {
    const { simulation, leader, exchange, watch, watchRequestText } = createTestCluster({
      maxWatchWaitMs: 900,
    });
    const { directorySequence, configSequence } = watch();
    const name = leader().settings.machine;
    const responses = exchange(
      rpcMethods.watch,
      watchRequestText({ directorySequence, configSequence }),
      50,
    );
    for (const { settings } of simulation.machines) {
      simulation.network.partition(name, settings.machine);
      simulation.network.partition(settings.machine, name);
    }
    simulation.virtualClock.runUntil(simulation.virtualClock.nowMs() + 1200);
    expect(responses[0]?.text).toContain('"breakdown"');
  });

  test("a tombstone expires after its retention time, unless its instance still sends heartbeats", () => {
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

  test("a view finds registrations by service, number and instance, and excludes those whose backends refused connections", () => {
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
    const [firstRegistration, secondRegistration] = ["one", "two"].map((instance) =>
      clusterView.registrationOf(instance),
    );
    if (!firstRegistration || !secondRegistration) throw new Error("the view lacks a registration");
    expect(clusterView.backendsOf(service)).toEqual([firstRegistration, secondRegistration]);
    expect([
      clusterView.isRegistered(firstRegistration),
      clusterView.isRegistered({ ...secondRegistration, number: 0 }),
    ]).toEqual([true, false]);
    clusterView.markRefused(firstRegistration);
    expect([clusterView.isRegistered(firstRegistration), clusterView.backendsOf(service)]).toEqual([
      false,
      [secondRegistration],
    ]);
    wait(1000);
    expect(clusterView.registrationOf("one")).toMatchObject({ leaving: true });
    expect(simulation.machines.length).toBeGreaterThan(0);
  });

  test("a heartbeat is acknowledged through an up-to-date daemon, but not through one with older registrations", () => {
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
