import { RpcMethod } from "../../src/rpc/rpc-method.js";
import { RpcEndpoint } from "../../src/rpc/rpc-endpoint.js";
import { Task } from "../../src/runtime/task.js";
import { Command } from "../../src/control-protocol/command.js";
import { ControlPlaneTimeouts } from "../../src/control-plane/control-plane.js";
import type { Registration } from "../../src/state/state-machine.js";
import { EventGate } from "../../src/simulation/event-gate.js";
import { Profile } from "../../src/simulation/profile.js";
import { Simulation, type SimulatedMachine } from "../../src/simulation/simulation.js";
import { virtualRuntime } from "../../src/simulation/virtual-runtime.js";
import { WatchRequest } from "../../src/control-protocol/command.js";

export const address = "10.9.0.1:80";
export const service = "issues";

/** What a daemon's operators' port returned. */
export interface Told {
  code: number;
  text: string;
}

const usual = { ...ControlPlaneTimeouts.usual };

export const fail = (error: unknown): void => {
  throw error;
};

/** A simulated fleet whose own back ends are still, and a stranger's link to it. */
export const stage = (terms: Partial<ControlPlaneTimeouts> = {}, seed = 1) => {
  Object.assign(ControlPlaneTimeouts.usual, usual, terms);
  const simulation = new Simulation(Profile.all.rastro, seed, 0.0001);
  for (const standIn of simulation.standIns) standIn.isAnnouncing = false;
  simulation.begin();
  simulation.time.runUntil(5000);
  const world = virtualRuntime({
    clock: simulation.clock,
    wire: simulation.network.wire("stranger", new EventGate()),
    random: simulation.random,
  });
  const link = new RpcEndpoint(world, "stranger");
  const wait = (forMs: number): void => simulation.time.runUntil(simulation.time.nowMs() + forMs);
  const leader = (): SimulatedMachine => {
    const found = simulation.machines.find(({ daemon }) => daemon?.recorder?.hasGrant);
    if (!found) throw new Error("Nobody leads.");
    return found;
  };
  const exchange = (
    kind: typeof RpcMethod.command | typeof RpcMethod.poll,
    text: string,
    within = 300,
  ) => {
    const returns: Array<{ text: string; atMs: number }> = [];
    Task.start(
      link.ask(leader().settings.peers, kind, { forwarded: true, text }, 2000),
      fail,
      (ret) => returns.push({ text: ret?.text ?? "", atMs: simulation.time.nowMs() }),
    );
    wait(within);
    return returns;
  };
  const order = (sent: Command): string =>
    exchange(RpcMethod.command, Command.text(sent))[0]?.text ?? "";
  const announce = (
    instance: string,
    more: Partial<Extract<Command, { kind: "announce" }>> = {},
  ): string =>
    order({
      kind: "announce",
      address,
      service,
      zone: "zone-x",
      warmth: 1,
      seen: 1_000_000,
      instance,
      ...more,
    });
  const pollText = (more: Partial<WatchRequest> = {}): string =>
    JSON.stringify({
      machine: {
        name: "stranger",
        zone: "zone-x",
        roles: [],
        peer: "stranger",
        incarnation: "one",
        draining: false,
      },
      configSequence: 0,
      directorySequence: -1,
      grantNumber: "",
      capacities: [],
      wished: [],
      refused: [],
      ...more,
    });
  const poll = (more: Partial<WatchRequest> = {}) => {
    const view = WatchRequest.readReturn(exchange(RpcMethod.poll, pollText(more))[0]?.text ?? "");
    if (!view.granted) throw new Error(view.why);
    return view;
  };
  const contract = (at = address): Registration | undefined =>
    poll().directory?.find((one) => one.address === at);
  const daemons = (count: number): SimulatedMachine[] =>
    simulation.machines.filter(({ settings }) => settings.callers !== undefined).slice(0, count);
  const post = (
    machine: SimulatedMachine | undefined,
    path: string,
    body: unknown,
    within = 300,
  ): Told => {
    const told: Told[] = [];
    machine?.daemon?.operators.put({
      job: { method: "POST", target: path, headers: {}, body: Buffer.from(JSON.stringify(body)) },
      give: ({ code, body: bytes }) => told.push({ code, text: Buffer.from(bytes).toString() }),
    });
    wait(within);
    return told[0] ?? { code: 0, text: "" };
  };
  return {
    simulation,
    world,
    link,
    wait,
    leader,
    order,
    announce,
    exchange,
    poll,
    pollText,
    contract,
    daemons,
    post,
  };
};
