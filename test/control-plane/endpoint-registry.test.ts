import { expect, test, vi } from "vitest";
import { CommandForwarder } from "../../src/cluster-view/command-forwarder.js";
import { ControlPlane } from "../../src/control-plane/control-plane.js";
import { ClusterView } from "../../src/cluster-view/cluster-view.js";
import { RpcMethod } from "../../src/rpc/rpc-method.js";
import { Task } from "../../src/runtime/task.js";
import { RetryBudget } from "../../src/retry-budget/retry-budget.js";
import { address, fail, service, stage } from "./control-plane-stage.js";

test("an instance that left, was replaced or is draining never comes back, however late its announcements are", () => {
  const { order: command, announce, contract: registration } = stage();
  expect(announce("one")).toContain('"taken"');
  expect(command({ kind: "leave", instance: "one" })).toBe('{"known":true}');
  expect(announce("one")).toContain('"gone"');
  expect(registration()).toMatchObject({ instance: "one", leaving: true });
  expect(announce("two", { capacity: 3 })).toContain('"taken"');
  expect(registration()).toMatchObject({ instance: "two", leaving: false, capacity: 3 });
  expect(announce("three")).toContain('"taken"');
  expect(announce("two")).toContain('"gone"');
  expect(registration()).toMatchObject({ instance: "three", leaving: false });
  expect(announce("three", { draining: true })).toContain('"gone"');
  expect(registration()).toMatchObject({ instance: "three", leaving: true });
  expect(announce("three", { draining: false })).toContain('"gone"');
  expect(registration()).toMatchObject({ instance: "three", leaving: true });
  expect(announce("two", { draining: true })).toContain('"gone"');
  expect(command({ kind: "leave", instance: "one" })).toBe('{"known":true}');
});

test("an instance that only ended comes back under a new contract", () => {
  const { announce, poll: watchRequest, contract: registration, wait } = stage();
  announce("one");
  const number = registration()?.number ?? -1;
  watchRequest({ refused: [{ address, number }] });
  wait(300);
  expect(registration()).toMatchObject({ leaving: true });
  expect(announce("one", { seen: number })).toContain('"overtaken"');
  expect(announce("one")).toContain('"taken"');
  expect(registration()?.leaving).toBe(false);
  expect(registration()?.number).toBeGreaterThan(number);
});

test("an instance that moves stands at one address; a change of its capacity keeps its contract", () => {
  const { announce, contract: registration } = stage();
  announce("one", { capacity: 2 });
  const number = registration()?.number;
  expect(announce("one", { capacity: 5 })).toContain('"taken"');
  expect(registration()).toMatchObject({ number, capacity: 5 });
  announce("one", { address: "10.9.0.2:80" });
  expect(registration()?.leaving).toBe(true);
  expect(registration("10.9.0.2:80")).toMatchObject({ instance: "one", leaving: false });
});

test("an instance that nobody knew leaves: a late announcement doesn't bring it", () => {
  const { order: command, announce, contract: registration } = stage();
  expect(command({ kind: "leave", instance: "one" })).toBe('{"known":false}');
  expect(announce("one")).toContain('"gone"');
  expect(announce("two", { draining: true })).toContain('"gone"');
  expect(announce("two")).toContain('"gone"');
  expect(registration()).toBeUndefined();
});

test("announcements overtaken by newer ones change nothing, at whichever daemon they come", () => {
  const { daemons, post, contract: registration, wait } = stage();
  const [one, two] = daemons(2);
  const said = { service, address, zone: "x", instance: "life-1", capacity: 2 };
  const announce = (at: typeof one, more: Record<string, unknown>): string =>
    post(at, "/backends/announce", { ...said, ...more }).text;
  expect(announce(one, { order: 5 })).toContain('"taken"');
  wait(1000);
  expect(announce(two, { order: 3, zone: "y" })).toContain('"overtaken"');
  expect(announce(one, { order: 4, zone: "y" })).toContain('"overtaken"');
  expect(announce(one, { order: 9 })).toContain('"known"');
  wait(500);
  expect(announce(two, { order: 7, zone: "y" })).toContain('"overtaken"');
  expect(registration()).toMatchObject({ zone: "x", leaving: false });
  expect(announce(two, { order: 11, zone: "y" })).toContain('"taken"');
  expect(registration()).toMatchObject({ zone: "y" });
});

test("a leave that was acknowledged holds though the leader loses power at once, and after a checkpoint", () => {
  for (const seed of [1, 2, 3]) {
    const { simulation, leader, daemons, post, contract: registration, wait } = stage({}, seed);
    const [one, two] = daemons(2);
    const said = { service, address, zone: "x", instance: "life-1" };
    post(one, "/backends/announce", said);
    expect(
      post(one, "/backends/announce", { ...said, order: 2, draining: true }, 60),
    ).toMatchObject({ code: 200 });
    expect(post(one, "/backends/leave", { instance: "life-2" }, 60)).toMatchObject({ code: 200 });
    const former = leader();
    simulation.kill(former, true);
    wait(4000);
    simulation.boot(former);
    for (const instance of ["life-1", "life-2"])
      expect(post(two, "/backends/announce", { ...said, instance, order: 9 }).text).toContain(
        '"gone"',
      );
    expect(registration()?.leaving ?? true).toBe(true);
  }
});

test("beats that change nothing are answered by daemons; the leader hears of them in polls alone, and silence ends what is silent", () => {
  const { daemons, post, contract: registration, wait } = stage();
  const [one, two] = daemons(2);
  const said = { service, address, zone: "x", instance: "life-1", capacity: 2 };
  post(one, "/backends/announce", { ...said, order: 1 });
  wait(700);
  const number = registration()?.number;
  const asked = vi.spyOn(ControlPlane.prototype, "command");
  for (let order = 2; order < 22; order += 1)
    expect(
      post(order % 2 === 0 ? one : two, "/backends/announce", { ...said, order }, 1000).text,
    ).toContain('"known"');
  expect(asked.mock.calls.filter(([text]) => text.includes("announce"))).toEqual([]);
  asked.mockRestore();
  expect(registration()).toMatchObject({ number, leaving: false });
  wait(1500);
  expect(registration()?.leaving).toBe(false);
  wait(1800);
  expect(registration()).toMatchObject({ number, leaving: true });
  expect(post(two, "/backends/announce", { ...said, order: 30 }).text).toContain('"taken"');
});

test("a beat whose report was lost is reported with a later poll", () => {
  const { simulation, daemons, post, contract: registration, wait } = stage();
  const [one] = daemons(1);
  const said = { service, address, zone: "x", instance: "life-1" };
  post(one, "/backends/announce", said);
  wait(1700);
  const name = one?.settings.machine ?? "";
  post(one, "/backends/announce", said, 0);
  for (const { settings } of simulation.machines) simulation.network.cut(name, settings.machine);
  wait(700);
  simulation.network.drop(name);
  simulation.network.heal();
  wait(1700);
  expect(registration()?.leaving).toBe(false);
});

test("announcements and leaves that are malformed are refused with reasons, and nobody waits long for a leader", () => {
  const { simulation, daemons, post } = stage();
  const [one] = daemons(1);
  const said = { service, address, zone: "x", instance: "life-1" };
  const faults = (told: { code: number; text: string }): string => `${told.code} ${told.text}`;
  expect(
    faults(post(one, "/backends/announce", { ...said, capacity: -1, draining: "yes" })),
  ).toMatch(/^400 .*capacity.*draining/);
  expect(faults(post(one, "/backends/announce", { ...said, instance: "" }))).toMatch(
    /^400 .*instance/,
  );
  expect(faults(post(one, "/backends/leave", { instance: 7 }))).toMatch(/^400 .*instance/);
  expect(faults(post(one, "/backends/leave", { service }))).toMatch(/^400 .*address/);
  for (const machine of simulation.machines)
    if (machine.settings.callers === undefined) simulation.kill(machine);
  expect(post(one, "/backends/announce", said, 990).code).toBe(503);
});

test("a held poll returns at once when the directory changes, and after its time when nothing does", () => {
  const { simulation, announce, exchange, poll: watchRequest, pollText } = stage({ holdMs: 250 });
  announce("one");
  const { directorySequence, configSequence } = watchRequest();
  const held = pollText({ directorySequence, configSequence });
  const beganMs = simulation.time.nowMs();
  const quiet = exchange(RpcMethod.poll, held, 600)[0]?.atMs ?? Infinity;
  expect(quiet - beganMs).toBeGreaterThan(240);
  expect(quiet - beganMs).toBeLessThan(350);
  const sentMs = simulation.time.nowMs();
  const returns = exchange(RpcMethod.poll, held, 60);
  expect(returns).toEqual([]);
  const before = simulation.time.nowMs();
  announce("two");
  expect(returns[0]?.text).toContain('"instance":"two"');
  expect((returns[0]?.atMs ?? Infinity) - before).toBeLessThan(150);
  expect((returns[0]?.atMs ?? Infinity) - sentMs).toBeLessThan(240);
  expect(simulation.machines.every(({ daemon }) => daemon?.standing.isGranted)).toBe(true);
});

test("a poll that is held while its leader is cut off grants nothing", () => {
  const { simulation, leader, exchange, poll: watchRequest, pollText } = stage({ holdMs: 900 });
  const { directorySequence, configSequence } = watchRequest();
  const name = leader().settings.machine;
  const returns = exchange(RpcMethod.poll, pollText({ directorySequence, configSequence }), 50);
  for (const { settings } of simulation.machines) {
    simulation.network.cut(name, settings.machine);
    simulation.network.cut(settings.machine, name);
  }
  simulation.time.runUntil(simulation.time.nowMs() + 1200);
  expect(returns[0]?.text).toContain('"breakdown"');
});

test("an instance that is gone is forgotten after its time, unless it still announces itself", () => {
  const { order: command, announce, wait } = stage({ tombstoneMs: 4000 });
  command({ kind: "leave", instance: "one" });
  command({ kind: "leave", instance: "two" });
  for (let round = 0; round < 8; round += 1) {
    expect(announce("one")).toContain('"gone"');
    wait(700);
  }
  expect(announce("one")).toContain('"gone"');
  expect(announce("two")).toContain('"taken"');
});

test("a view finds contracts by service, number and instance, and holds none that refused", () => {
  const { world: runtime, link: rpc, leader, announce, wait, simulation } = stage();
  announce("one");
  announce("two", { address: "10.9.0.2:80" });
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
  Task.start(clusterView.run(200), fail);
  wait(500);
  const [one, two] = ["one", "two"].map((instance) => clusterView.registrationOf(instance));
  if (!one || !two) throw new Error("A contract is missing.");
  expect(clusterView.backendsOf(service)).toEqual([one, two]);
  expect([clusterView.isRegistered(one), clusterView.isRegistered({ ...two, number: 0 })]).toEqual([
    true,
    false,
  ]);
  clusterView.noteRefused(one);
  expect([clusterView.isRegistered(one), clusterView.backendsOf(service)]).toEqual([false, [two]]);
  wait(1000);
  expect(clusterView.registrationOf("one")).toMatchObject({ leaving: true });
  expect(simulation.machines.length).toBeGreaterThan(0);
});

test("a beat through a daemon with an older directory isn't told that it was heard, once through another it is", () => {
  const { announce, poll: watchRequest, contract: registration, wait } = stage();
  announce("one", { order: 1 });
  const number = registration()?.number ?? -1;
  watchRequest({ refused: [{ address, number }] });
  wait(300);
  expect(announce("one", { order: 2, seen: number })).toContain('"behind"');
  expect(registration()?.leaving).toBe(true);
  expect(announce("one", { order: 2 })).toContain('"taken"');
  expect(registration()?.leaving).toBe(false);
});
