import type { Task } from "../../runtime/task.js";
import type { SimulatedMachine } from "../simulated-machine.js";
import type { Simulation } from "../simulation.js";
import { machineNameOf, sleepBetween } from "./targets.js";

/** Ways of the network, each from one place to another. */
export type NetworkLinks = ReadonlyArray<readonly [from: string, to: string]>;

/** Cuts ways for a while, each of which may be one way only. */
export const partition = function* (
  simulation: Simulation,
  ways: NetworkLinks,
  leastMs: number,
  mostMs: number,
): Task {
  for (const [from, to] of ways) simulation.network.partition(from, to);
  yield* sleepBetween(simulation, leastMs, mostMs);
  for (const [from, to] of ways) simulation.network.heal(from, to);
};

/** The ways between places of two kinds; where one way only, only the ways there. */
export const linksBetween = (
  some: readonly string[],
  others: readonly string[],
  oneWay = false,
): NetworkLinks =>
  some.flatMap((one) =>
    others
      .filter((other) => other !== one)
      .flatMap((other): NetworkLinks =>
        oneWay
          ? [[one, other]]
          : [
              [one, other],
              [other, one],
            ],
      ),
  );

/** Cuts machines off from all others for some seconds. */
export const isolate = function* (
  simulation: Simulation,
  machines: SimulatedMachine[],
  oneWay: boolean,
): Task {
  const others = simulation.machines.filter((other) => !machines.includes(other));
  yield* partition(
    simulation,
    linksBetween(machines.map(machineNameOf), others.map(machineNameOf), oneWay),
    500,
    7000,
  );
};

/** Some of the ways there, the ways back, or both. */
export const pickDirections = (simulation: Simulation, ways: NetworkLinks): NetworkLinks => {
  const drawn = simulation.random();
  return ways.filter((_, at) => drawn < 0.34 || (drawn < 0.67 ? at % 2 === 0 : at % 2 === 1));
};

/** Bad weather for the whole network, for some seconds. */
export const degrade = function* (
  simulation: Simulation,
  weather: Partial<Simulation["network"]["conditions"]>,
): Task {
  const { network } = simulation;
  network.conditions = { ...network.conditions, ...weather };
  yield* sleepBetween(simulation, 1500, 6000);
  network.conditions = { maxExtraLatencyMs: 0, maxExtraConnectMs: 0, lossFraction: 0 };
};
