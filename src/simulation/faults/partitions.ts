import type { Task } from "../../runtime/task.js";
import type { SimulatedMachine } from "../simulated-machine.js";
import type { Simulation } from "../simulation.js";
import { machineNameOf, rest } from "./targets.js";

/** Ways of the network, each from one place to another. */
export type PartitionedRoutes = ReadonlyArray<readonly [from: string, to: string]>;

/** Cuts ways for a while, each of which may be one way only. */
export const partition = function* (
  simulation: Simulation,
  ways: PartitionedRoutes,
  leastMs: number,
  mostMs: number,
): Task {
  for (const [from, to] of ways) simulation.network.cut(from, to);
  yield* rest(simulation, leastMs, mostMs);
  for (const [from, to] of ways) simulation.network.mend(from, to);
};

/** The ways between places of two kinds; where one way only, only the ways there. */
export const routesBetween = (
  some: readonly string[],
  others: readonly string[],
  oneWay = false,
): PartitionedRoutes =>
  some.flatMap((one) =>
    others
      .filter((other) => other !== one)
      .flatMap((other): PartitionedRoutes =>
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
    routesBetween(machines.map(machineNameOf), others.map(machineNameOf), oneWay),
    500,
    7000,
  );
};

/** Some of the ways there, the ways back, or both. */
export const oneWayOf = (simulation: Simulation, ways: PartitionedRoutes): PartitionedRoutes => {
  const drawn = simulation.random();
  return ways.filter((_, at) => drawn < 0.34 || (drawn < 0.67 ? at % 2 === 0 : at % 2 === 1));
};

/** Bad weather for the whole network, for some seconds. */
export const degrade = function* (
  simulation: Simulation,
  weather: Partial<Simulation["network"]["weather"]>,
): Task {
  const { network } = simulation;
  network.weather = { ...network.weather, ...weather };
  yield* rest(simulation, 1500, 6000);
  network.weather = { slowMs: 0, slowConnectMs: 0, lossPart: 0 };
};
