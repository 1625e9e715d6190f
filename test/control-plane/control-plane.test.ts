import { expect, test } from "vitest";
import { Command } from "../../src/control-protocol/command.js";
import { RpcMethod } from "../../src/rpc/rpc-method.js";
import { RpcEndpoint } from "../../src/rpc/rpc-endpoint.js";
import { Task } from "../../src/runtime/task.js";
import { EventGate } from "../../src/simulation/event-gate.js";
import { Profile } from "../../src/simulation/profile.js";
import { Simulation } from "../../src/simulation/simulation.js";
import { virtualRuntime } from "../../src/simulation/virtual-runtime.js";

test("an announcement that was overtaken by the back end's leave, or by another service at its address, changes nothing", () => {
  const simulation = new Simulation(Profile.all.rastro, 1, 0.01);
  simulation.begin();
  simulation.time.runUntil(5000);
  const fail = (error: unknown): void => {
    throw error;
  };
  const world = virtualRuntime({
    clock: simulation.clock,
    wire: simulation.network.wire("late", new EventGate()),
    random: simulation.random,
  });
  const link = new RpcEndpoint(world, "late");
  const leader =
    simulation.machines.find(({ daemon }) => daemon?.recorder?.hasGrant)?.settings.peers ?? "";
  const order = (sent: Command): string => {
    const returns: string[] = [];
    Task.start(
      link.ask(leader, RpcMethod.command, { forwarded: true, text: Command.text(sent) }, 2000),
      fail,
      (ret) => returns.push(ret?.text ?? ""),
    );
    simulation.time.runUntil(simulation.time.nowMs() + 200);
    return returns[0] ?? "";
  };
  const [one] = simulation.standIns;
  if (!one) throw new Error("There is no back end.");
  one.isAnnouncing = false;
  const { address, service, zone } = one;
  const late: Command = {
    kind: "announce",
    address,
    service,
    zone,
    warmth: 1,
    seen: Number(/"directorySequence":(\d+)/.exec(order({ kind: "fleet" }))?.[1] ?? "0"),
  };
  expect(order({ kind: "leave", address, service })).toBe('{"known":true}');
  simulation.time.runUntil(simulation.time.nowMs() + 4000);
  expect(order(late)).toContain('"overtaken"');
  const fresh = { ...late, seen: 1_000_000 };
  expect(order({ ...fresh, service: "triage" })).toContain('"taken"');
  expect(order(late)).toContain('"overtaken"');
  expect(order(fresh)).toContain('"taken"');
});
