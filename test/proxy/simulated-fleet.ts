/** A fixture of a simulated fleet without faults, for keyed requests through its edges. */
import type { ProxyRequest } from "../../src/proxy/proxy-request.js";
import { shippedProfiles } from "../../src/simulation/profile.js";
import { Simulation } from "../../src/simulation/simulation.js";
import { runTask } from "../../src/runtime/task.js";

/** How long a key may not run twice, by the settings of these fleets. */
export const KEY_WINDOW_MS = 60_000;

/** A machine of the fleet. */
export type Machine = Simulation["machines"][number];

/** What a client got for one request: no code while it waits, 0 where its connection broke. */
export interface ReceivedResponse {
  code: number | undefined;
  text: string;
}

/** A simulated fleet without faults, with functions to send keyed requests and to observe their runs. */
export const createSimulatedFleet = (seed = 7) => {
  const simulation = new Simulation(shippedProfiles.rastro, seed, 0.0001);
  simulation.startAll();
  simulation.start(simulation.workload.putConfig());
  const wait = (forMs: number): void =>
    simulation.virtualClock.runUntil(simulation.virtualClock.nowMs() + forMs);
  wait(6000);
  const edges = simulation.machines.filter(({ settings }) => settings.callers !== undefined);
  const core = simulation.machines.filter(({ settings }) => settings.dataFolder !== undefined);
  const send = (
    through: Machine,
    key: string,
    { timeoutMs = 9000, body = "{}" }: { timeoutMs?: number; body?: string } = {},
  ): ReceivedResponse => {
    const call: ReceivedResponse = { code: undefined, text: "" };
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
        call.code = end.code;
        call.text = end.body.toString();
      },
    );
    return call;
  };
  const runs = (key: string): number[] =>
    simulation.recorder.runs.filter((run) => run.key === key).map(({ atMs }) => atMs);
  const until = (holds: () => boolean): void => {
    for (let passedMs = 0; !holds(); passedMs += 1) {
      if (passedMs > 20_000) throw new Error("The condition doesn't hold after 20 s.");
      wait(1);
    }
  };
  const leader = (): Machine | undefined =>
    core.find(({ daemon }) => daemon?.replicationNode?.status.role === "leader");
  const committed = (): number =>
    Math.max(
      ...simulation.machines.map(({ daemon }) => daemon?.replicationNode?.status.committed ?? 0),
    );
  return { simulation, edges, core, wait, send, runs, until, leader, committed };
};

/** The first two edges. */
export const firstTwoEdges = (edges: readonly Machine[]): [Machine, Machine] => {
  const [first, second] = edges;
  if (!first || !second) throw new Error("There are too few edges.");
  return [first, second];
};
