import type { Task } from "../../runtime/task.js";
import type { SimulatedMachine } from "../simulated-machine.js";
import type { Simulation } from "../simulation.js";
import { sleepBetween } from "./targets.js";

/** Ends the processes of some machines at once, with their power where told, and starts them again together. */
export const reboot = function* (
  simulation: Simulation,
  machines: SimulatedMachine[],
  power = false,
): Task {
  for (const machine of machines) simulation.kill(machine, power);
  yield* sleepBetween(simulation, 300, 4000);
  for (const machine of machines) simulation.boot(machine);
};

/** A recorder loses its disk and comes back with an empty one; only while all others hold the record. */
export const emptyDisk = function* (simulation: Simulation, one: SimulatedMachine): Task {
  simulation.kill(one, true);
  one.disk?.wipe();
  yield* sleepBetween(simulation, 300, 3000);
  simulation.boot(one);
  yield* sleepBetween(simulation, 6000, 8000);
};
