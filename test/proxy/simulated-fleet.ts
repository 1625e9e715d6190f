/** A fixture that simulates a fleet without faults, for keyed requests through its edges. */
import type { ProxyRequest } from "../../src/proxy/proxy-request.js";
import { shippedProfiles } from "../../src/simulation/profile.js";
import { Simulation } from "../../src/simulation/simulation.js";
import { runTask } from "../../src/runtime/task.js";

/** Time within which a key must not run twice, from the settings of these fleets. */
export const KEY_WINDOW_MS = 60_000;

/** A machine of the fleet. */
export type Machine = Simulation["machines"][number];

/** The response to one request. The code is undefined while the client waits, and 0 if its connection failed. */
export interface ReceivedResponse {
  code: number | undefined;
  text: string;
}

/** Creates a simulated fleet without faults, with functions to send keyed requests and to observe their runs. */
export const createSimulatedFleet = (seed = 7) => {
  const simulation = new Simulation(shippedProfiles.rastro, seed, 0.0001);
  simulation.startAll();
  simulation.start(simulation.workload.putConfig());
  const advance = (durationMs: number): void =>
    simulation.virtualClock.runUntil(simulation.virtualClock.nowMs() + durationMs);
  advance(6000);
  const edges = simulation.machines.filter(({ settings }) => settings.callers !== undefined);
  const core = simulation.machines.filter(({ settings }) => settings.dataFolder !== undefined);
  const send = (
    through: Machine,
    key: string,
    { timeoutMs = 9000, body = "{}" }: { timeoutMs?: number; body?: string } = {},
  ): ReceivedResponse => {
    const response: ReceivedResponse = { code: undefined, text: "" };
    const clientRequest: ProxyRequest = {
      method: "POST",
      target: "/issues/5/resolve",
      headers: { "idempotency-key": key, "x-caller": `${through.settings.machine} ${key}` },
      body: Buffer.from(body),
    };
    runTask(
      simulation.sendRequest(through.settings.machine, clientRequest, timeoutMs),
      (error) => {
        throw error;
      },
      (end) => {
        response.code = end.code;
        response.text = end.body.toString();
      },
    );
    return response;
  };
  const runTimesMs = (key: string): number[] =>
    simulation.recorder.runs.filter((run) => run.key === key).map(({ atMs }) => atMs);
  const advanceUntil = (condition: () => boolean): void => {
    for (let passedMs = 0; !condition(); passedMs += 1) {
      if (passedMs > 20_000)
        throw new Error("The condition doesn't hold after 20 s of virtual time.");
      advance(1);
    }
  };
  const findLeader = (): Machine | undefined =>
    core.find(({ daemon }) => daemon?.replicationNode?.status.role === "leader");
  const committedIndex = (): number =>
    Math.max(
      ...simulation.machines.map(({ daemon }) => daemon?.replicationNode?.status.committed ?? 0),
    );
  return {
    simulation,
    edges,
    core,
    advance,
    send,
    runTimesMs,
    advanceUntil,
    findLeader,
    committedIndex,
  };
};

/** Returns the first two edges. */
export const firstTwoEdges = (edges: readonly Machine[]): [Machine, Machine] => {
  const [first, second] = edges;
  if (!first || !second) throw new Error("The fleet has fewer than two edges.");
  return [first, second];
};
