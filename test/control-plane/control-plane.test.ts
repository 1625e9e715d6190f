import { describe, expect, test } from "vitest";
import { type Command, encodeCommand } from "../../src/control-protocol/command.js";
import { rpcMethods } from "../../src/rpc/rpc-method.js";
import { RpcEndpoint } from "../../src/rpc/rpc-endpoint.js";
import { runTask } from "../../src/runtime/task.js";
import { EventGate } from "../../src/simulation/event-gate.js";
import { shippedProfiles } from "../../src/simulation/profile.js";
import { Simulation } from "../../src/simulation/simulation.js";
import { virtualRuntime } from "../../src/simulation/virtual-runtime.js";

describe("ControlPlane", () => {
  test("a heartbeat that is older than the backend's deregistration, or than another service at its address, changes nothing", () => {
    const simulation = new Simulation(shippedProfiles.rastro, 1, 0.01);
    simulation.startAll();
    simulation.virtualClock.runUntil(5000);
    const fail = (error: unknown): void => {
      throw error;
    };
    const runtime = virtualRuntime({
      clock: simulation.clock,
      network: simulation.network.createInterface("late", new EventGate()),
      random: simulation.random,
    });
    const rpc = new RpcEndpoint(runtime, "late");
    const leader =
      simulation.machines.find(({ daemon }) => daemon?.replicationNode?.holdsLease)?.settings
        .peers ?? "";
    const command = (sent: Command): string => {
      const returns: string[] = [];
      runTask(
        rpc.call(leader, rpcMethods.command, { forwarded: true, text: encodeCommand(sent) }, 2000),
        fail,
        (ret) => returns.push(ret?.text ?? ""),
      );
      simulation.virtualClock.runUntil(simulation.virtualClock.nowMs() + 200);
      return returns[0] ?? "";
    };
    const [one] = simulation.testBackends;
    if (!one) throw new Error("There is no backend.");
    one.isAnnouncing = false;
    const { address, service, zone } = one;
    const late: Command = {
      kind: "announce",
      address,
      service,
      zone,
      warmth: 1,
      seen: Number(/"directorySequence":(\d+)/.exec(command({ kind: "fleet" }))?.[1] ?? "0"),
    };
    expect(command({ kind: "leave", address, service })).toBe('{"known":true}');
    simulation.virtualClock.runUntil(simulation.virtualClock.nowMs() + 4000);
    expect(command(late)).toContain('"overtaken"');
    const fresh = { ...late, seen: 1_000_000 };
    expect(command({ ...fresh, service: "triage" })).toContain('"taken"');
    expect(command(late)).toContain('"overtaken"');
    expect(command(fresh)).toContain('"taken"');
  });
});
