import type { Task } from "../../runtime/task.js";
import type { SimulatedMachine } from "../simulated-machine.js";
import type { Simulation } from "../simulation.js";
import { machineNameOf, sleepBetween } from "./targets.js";

/** Links of the network, each in one direction. */
export type NetworkLinks = ReadonlyArray<readonly [from: string, to: string]>;

/** Partitions links for a random time between two bounds. */
export const partition = function* (
  simulation: Simulation,
  links: NetworkLinks,
  minMs: number,
  maxMs: number,
): Task {
  for (const [from, to] of links) simulation.network.partition(from, to);
  yield* sleepBetween(simulation, minMs, maxMs);
  for (const [from, to] of links) simulation.network.heal(from, to);
};

/** The links between two sets of locations; with `isOneWay` only those from the first set to the second. */
export const linksBetween = (
  locations: readonly string[],
  otherLocations: readonly string[],
  isOneWay = false,
): NetworkLinks =>
  locations.flatMap((location) =>
    otherLocations
      .filter((other) => other !== location)
      .flatMap((other): NetworkLinks =>
        isOneWay
          ? [[location, other]]
          : [
              [location, other],
              [other, location],
            ],
      ),
  );

/** Partitions machines from all others for 0.5 to 7 s. */
export const isolate = function* (
  simulation: Simulation,
  machines: SimulatedMachine[],
  isOneWay: boolean,
): Task {
  const others = simulation.machines.filter((other) => !machines.includes(other));
  yield* partition(
    simulation,
    linksBetween(machines.map(machineNameOf), others.map(machineNameOf), isOneWay),
    500,
    7000,
  );
};

/** Picks, at random, all links or only those of one direction, where both directions alternate in the list. */
export const pickDirections = (simulation: Simulation, links: NetworkLinks): NetworkLinks => {
  const drawn = simulation.random();
  return links.filter(
    (_, index) => drawn < 0.34 || (drawn < 0.67 ? index % 2 === 0 : index % 2 === 1),
  );
};

/** Degrades the whole network for 1.5 to 6 s. */
export const degradeNetwork = function* (
  simulation: Simulation,
  conditions: Partial<Simulation["network"]["conditions"]>,
): Task {
  const { network } = simulation;
  network.conditions = { ...network.conditions, ...conditions };
  yield* sleepBetween(simulation, 1500, 6000);
  network.conditions = { maxExtraLatencyMs: 0, maxExtraConnectMs: 0, lossFraction: 0 };
};
