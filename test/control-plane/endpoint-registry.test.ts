import { expect, test, vi } from "vitest";
import { CommandForwarder } from "../../src/cluster-view/command-forwarder.js";
import { ControlPlane } from "../../src/control-plane/control-plane.js";
import { ClusterView } from "../../src/cluster-view/cluster-view.js";
import { RpcMethod } from "../../src/rpc/rpc-method.js";
import { Task } from "../../src/runtime/task.js";
import { RetryBudget } from "../../src/retry-budget/retry-budget.js";
import { address, fail, service, stage } from "./control-plane-stage.js";

test("an instance that left, was replaced or is draining never comes back, however late its announcements are", () => {
  const { order, announce, contract } = stage();
  expect(announce("one")).toContain('"taken"');
  expect(order({ kind: "leave", instance: "one" })).toBe('{"known":true}');
  expect(announce("one")).toContain('"gone"');
  expect(contract()).toMatchObject({ instance: "one", leaving: true });
  expect(announce("two", { capacity: 3 })).toContain('"taken"');
  expect(contract()).toMatchObject({ instance: "two", leaving: false, capacity: 3 });
  expect(announce("three")).toContain('"taken"');
  expect(announce("two")).toContain('"gone"');
  expect(contract()).toMatchObject({ instance: "three", leaving: false });
  expect(announce("three", { draining: true })).toContain('"gone"');
  expect(contract()).toMatchObject({ instance: "three", leaving: true });
  expect(announce("three", { draining: false })).toContain('"gone"');
  expect(contract()).toMatchObject({ instance: "three", leaving: true });
  expect(announce("two", { draining: true })).toContain('"gone"');
  expect(order({ kind: "leave", instance: "one" })).toBe('{"known":true}');
});

test("an instance that only ended comes back under a new contract", () => {
  const { announce, poll, contract, wait } = stage();
  announce("one");
  const number = contract()?.number ?? -1;
  poll({ refused: [{ address, number }] });
  wait(300);
  expect(contract()).toMatchObject({ leaving: true });
  expect(announce("one", { seen: number })).toContain('"overtaken"');
  expect(announce("one")).toContain('"taken"');
  expect(contract()?.leaving).toBe(false);
  expect(contract()?.number).toBeGreaterThan(number);
});

test("an instance that moves stands at one address; a change of its capacity keeps its contract", () => {
  const { announce, contract } = stage();
  announce("one", { capacity: 2 });
  const number = contract()?.number;
  expect(announce("one", { capacity: 5 })).toContain('"taken"');
  expect(contract()).toMatchObject({ number, capacity: 5 });
  announce("one", { address: "10.9.0.2:80" });
  expect(contract()?.leaving).toBe(true);
  expect(contract("10.9.0.2:80")).toMatchObject({ instance: "one", leaving: false });
});

test("an instance that nobody knew leaves: a late announcement doesn't bring it", () => {
  const { order, announce, contract } = stage();
  expect(order({ kind: "leave", instance: "one" })).toBe('{"known":false}');
  expect(announce("one")).toContain('"gone"');
  expect(announce("two", { draining: true })).toContain('"gone"');
  expect(announce("two")).toContain('"gone"');
  expect(contract()).toBeUndefined();
});

test("announcements overtaken by newer ones change nothing, at whichever daemon they come", () => {
  const { daemons, post, contract, wait } = stage();
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
  expect(contract()).toMatchObject({ zone: "x", leaving: false });
  expect(announce(two, { order: 11, zone: "y" })).toContain('"taken"');
  expect(contract()).toMatchObject({ zone: "y" });
});

test("a leave that was acknowledged holds though the leader loses power at once, and after a checkpoint", () => {
  for (const seed of [1, 2, 3]) {
    const { simulation, leader, daemons, post, contract, wait } = stage({}, seed);
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
    expect(contract()?.leaving ?? true).toBe(true);
  }
});

test("beats that change nothing are answered by daemons; the leader hears of them in polls alone, and silence ends what is silent", () => {
  const { daemons, post, contract, wait } = stage();
  const [one, two] = daemons(2);
  const said = { service, address, zone: "x", instance: "life-1", capacity: 2 };
  post(one, "/backends/announce", { ...said, order: 1 });
  wait(700);
  const number = contract()?.number;
  const asked = vi.spyOn(ControlPlane.prototype, "command");
  for (let order = 2; order < 22; order += 1)
    expect(
      post(order % 2 === 0 ? one : two, "/backends/announce", { ...said, order }, 1000).text,
    ).toContain('"known"');
  expect(asked.mock.calls.filter(([text]) => text.includes("announce"))).toEqual([]);
  asked.mockRestore();
  expect(contract()).toMatchObject({ number, leaving: false });
  wait(1500);
  expect(contract()?.leaving).toBe(false);
  wait(1800);
  expect(contract()).toMatchObject({ number, leaving: true });
  expect(post(two, "/backends/announce", { ...said, order: 30 }).text).toContain('"taken"');
});

test("a beat whose report was lost is reported with a later poll", () => {
  const { simulation, daemons, post, contract, wait } = stage();
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
  expect(contract()?.leaving).toBe(false);
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
  const { simulation, announce, exchange, poll, pollText } = stage({ holdMs: 250 });
  announce("one");
  const { directorySequence, configSequence } = poll();
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
  const { simulation, leader, exchange, poll, pollText } = stage({ holdMs: 900 });
  const { directorySequence, configSequence } = poll();
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
  const { order, announce, wait } = stage({ goneMs: 4000 });
  order({ kind: "leave", instance: "one" });
  order({ kind: "leave", instance: "two" });
  for (let round = 0; round < 8; round += 1) {
    expect(announce("one")).toContain('"gone"');
    wait(700);
  }
  expect(announce("one")).toContain('"gone"');
  expect(announce("two")).toContain('"taken"');
});

test("a view finds contracts by service, number and instance, and holds none that refused", () => {
  const { world, link, leader, announce, wait, simulation } = stage();
  announce("one");
  announce("two", { address: "10.9.0.2:80" });
  const forwarder = new CommandForwarder(world, link, () => [leader().settings.peers]);
  const view = new ClusterView(
    world,
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
  Task.start(view.own(200), fail);
  wait(500);
  const [one, two] = ["one", "two"].map((instance) => view.contractOf(instance));
  if (!one || !two) throw new Error("A contract is missing.");
  expect(view.backEnds(service)).toEqual([one, two]);
  expect([view.holds(one), view.holds({ ...two, number: 0 })]).toEqual([true, false]);
  view.noteRefused(one);
  expect([view.holds(one), view.backEnds(service)]).toEqual([false, [two]]);
  wait(1000);
  expect(view.contractOf("one")).toMatchObject({ leaving: true });
  expect(simulation.machines.length).toBeGreaterThan(0);
});

test("a beat through a daemon with an older directory isn't told that it was heard, once through another it is", () => {
  const { announce, poll, contract, wait } = stage();
  announce("one", { order: 1 });
  const number = contract()?.number ?? -1;
  poll({ refused: [{ address, number }] });
  wait(300);
  expect(announce("one", { order: 2, seen: number })).toContain('"behind"');
  expect(contract()?.leaving).toBe(true);
  expect(announce("one", { order: 2 })).toContain('"taken"');
  expect(contract()?.leaving).toBe(false);
});
