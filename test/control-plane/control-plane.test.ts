import { expect, test } from "vitest";
import { Order } from "../../src/control-protocol/command.js";
import { Kind } from "../../src/rpc/rpc-method.js";
import { Link } from "../../src/rpc/rpc-endpoint.js";
import { Task } from "../../src/runtime/task.js";
import { Gate } from "../../src/simulation/event-gate.js";
import { Profile } from "../../src/simulation/profile.js";
import { Simulation } from "../../src/simulation/simulation.js";
import { virtualWorld } from "../../src/simulation/virtual-runtime.js";

test("an announcement that was overtaken by the back end's leave, or by another service at its address, changes nothing", () => {
  const simulation = new Simulation(Profile.all.rastro, 1, 0.01);
  simulation.begin();
  simulation.time.runUntil(5000);
  const fail = (error: unknown): void => {
    throw error;
  };
  const world = virtualWorld({
    clock: simulation.clock,
    wire: simulation.network.wire("late", new Gate()),
    random: simulation.random,
  });
  const link = new Link(world, "late");
  const leader =
    simulation.machines.find(({ daemon }) => daemon?.recorder?.hasGrant)?.settings.peers ?? "";
  const order = (sent: Order): string => {
    const returns: string[] = [];
    Task.start(
      link.ask(leader, Kind.command, { forwarded: true, text: Order.text(sent) }, 2000),
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
  const late: Order = {
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
