/** A simulated fleet for tests of the control plane: commands and watch requests sent to its leader from outside. */
import { rpcMethods } from "../../src/rpc/rpc-method.js";
import { RpcEndpoint } from "../../src/rpc/rpc-endpoint.js";
import { runTask } from "../../src/runtime/task.js";
import { type Command, encodeCommand } from "../../src/control-protocol/command.js";
import {
  type ControlPlaneTimeouts,
  defaultControlPlaneTimeouts,
} from "../../src/control-plane/control-plane-timeouts.js";
import type { Registration } from "../../src/state/registration.js";
import { EventGate } from "../../src/simulation/event-gate.js";
import { shippedProfiles } from "../../src/simulation/profile.js";
import { Simulation } from "../../src/simulation/simulation.js";
import type { SimulatedMachine } from "../../src/simulation/simulated-machine.js";
import { virtualRuntime } from "../../src/simulation/virtual-runtime.js";
import { type WatchRequest, readLeasedView } from "../../src/control-protocol/watch-request.js";

export const address = "10.9.0.1:80";
export const service = "issues";

/** The response of a daemon's admin API. */
export interface AdminResponse {
  code: number;
  text: string;
}

/** The defaults, which `stage` overrides for the fleets that it creates. */
const defaults = { ...defaultControlPlaneTimeouts };

export const rethrow = (error: unknown): void => {
  throw error;
};

/** A simulated fleet whose own backends send no heartbeats, and an RPC endpoint outside it. */
export const createTestCluster = (timeouts: Partial<ControlPlaneTimeouts> = {}, seed = 1) => {
  Object.assign(defaultControlPlaneTimeouts, defaults, timeouts);
  const simulation = new Simulation(shippedProfiles.rastro, seed, 0.0001);
  for (const testBackend of simulation.testBackends) testBackend.isAnnouncing = false;
  simulation.startAll();
  simulation.virtualClock.runUntil(5000);
  const runtime = virtualRuntime({
    clock: simulation.clock,
    network: simulation.network.createInterface("stranger", new EventGate()),
    random: simulation.random,
  });
  const rpc = new RpcEndpoint(runtime, "stranger");
  const wait = (forMs: number): void =>
    simulation.virtualClock.runUntil(simulation.virtualClock.nowMs() + forMs);
  const leader = (): SimulatedMachine => {
    const found = simulation.machines.find(({ daemon }) => daemon?.replicationNode?.holdsLease);
    if (!found) throw new Error("There is no leader.");
    return found;
  };
  const exchange = (
    kind: typeof rpcMethods.command | typeof rpcMethods.watch,
    text: string,
    waitMs = 300,
  ) => {
    const responses: Array<{ text: string; atMs: number }> = [];
    runTask(
      rpc.call(leader().settings.peers, kind, { forwarded: true, text }, 2000),
      rethrow,
      (response) =>
        responses.push({ text: response?.text ?? "", atMs: simulation.virtualClock.nowMs() }),
    );
    wait(waitMs);
    return responses;
  };
  const command = (sent: Command): string =>
    exchange(rpcMethods.command, encodeCommand(sent))[0]?.text ?? "";
  const heartbeat = (
    instance: string,
    more: Partial<Extract<Command, { kind: "announce" }>> = {},
  ): string =>
    command({
      kind: "announce",
      address,
      service,
      zone: "zone-x",
      warmth: 1,
      seen: 1_000_000,
      instance,
      ...more,
    });
  const watchRequestText = (more: Partial<WatchRequest> = {}): string =>
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
  const watch = (more: Partial<WatchRequest> = {}) => {
    const view = readLeasedView(exchange(rpcMethods.watch, watchRequestText(more))[0]?.text ?? "");
    if (!view.granted) throw new Error(view.why);
    return view;
  };
  const registration = (ofAddress = address): Registration | undefined =>
    watch().directory?.find((one) => one.address === ofAddress);
  const daemons = (count: number): SimulatedMachine[] =>
    simulation.machines.filter(({ settings }) => settings.callers !== undefined).slice(0, count);
  const post = (
    machine: SimulatedMachine | undefined,
    path: string,
    body: unknown,
    waitMs = 300,
  ): AdminResponse => {
    const responses: AdminResponse[] = [];
    machine?.daemon?.adminRequests.emit({
      clientRequest: {
        method: "POST",
        target: path,
        headers: {},
        body: Buffer.from(JSON.stringify(body)),
      },
      respond: ({ code, body: bytes }) =>
        responses.push({ code, text: Buffer.from(bytes).toString() }),
    });
    wait(waitMs);
    return responses[0] ?? { code: 0, text: "" };
  };
  return {
    simulation,
    runtime,
    rpc,
    wait,
    leader,
    command,
    heartbeat,
    exchange,
    watch,
    watchRequestText,
    registration,
    daemons,
    post,
  };
};
