import type { Task } from "../../runtime/task.js";
import type { SimMachine, Simulation } from "../simulation.js";
import { placeOf, rest } from "./targets.js";

/** Ways of the network, each from one place to another. */
export type Ways = ReadonlyArray<readonly [from: string, to: string]>;

/** Cuts ways for a while, each of which may be one way only. */
export const cutting = function* (
  simulation: Simulation,
  ways: Ways,
  leastMs: number,
  mostMs: number,
): Task {
  for (const [from, to] of ways) simulation.network.cut(from, to);
  yield* rest(simulation, leastMs, mostMs);
  for (const [from, to] of ways) simulation.network.mend(from, to);
};

/** The ways between places of two kinds; where one way only, only the ways there. */
export const waysBetween = (
  some: readonly string[],
  others: readonly string[],
  oneWay = false,
): Ways =>
  some.flatMap((one) =>
    others
      .filter((other) => other !== one)
      .flatMap((other): Ways =>
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
  machines: SimMachine[],
  oneWay: boolean,
): Task {
  const others = simulation.machines.filter((other) => !machines.includes(other));
  yield* cutting(
    simulation,
    waysBetween(machines.map(placeOf), others.map(placeOf), oneWay),
    500,
    7000,
  );
};

/** Some of the ways there, the ways back, or both. */
export const sided = (simulation: Simulation, ways: Ways): Ways => {
  const drawn = simulation.random();
  return ways.filter((_, at) => drawn < 0.34 || (drawn < 0.67 ? at % 2 === 0 : at % 2 === 1));
};

/** Bad weather for the whole network, for some seconds. */
export const bad = function* (
  simulation: Simulation,
  weather: Partial<Simulation["network"]["weather"]>,
): Task {
  const { network } = simulation;
  network.weather = { ...network.weather, ...weather };
  yield* rest(simulation, 1500, 6000);
  network.weather = { slowMs: 0, slowConnectMs: 0, lossPart: 0 };
};
