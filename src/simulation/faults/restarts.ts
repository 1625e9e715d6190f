import type { Task } from "../../runtime/task.js";
import type { SimulatedMachine } from "../simulated-machine.js";
import type { Simulation } from "../simulation.js";
import { sleepBetween } from "./targets.js";

/** Kills the processes of machines at once, or their power with `losesPower`, and restarts them together. */
export const reboot = function* (
  simulation: Simulation,
  machines: SimulatedMachine[],
  losesPower = false,
): Task {
  for (const machine of machines) simulation.kill(machine, losesPower);
  yield* sleepBetween(simulation, 300, 4000);
  for (const machine of machines) simulation.boot(machine);
};

/** Restarts a member with an empty disk. Call it only while all other members hold the complete log. */
export const emptyDisk = function* (simulation: Simulation, member: SimulatedMachine): Task {
  simulation.kill(member, true);
  member.disk?.wipe();
  yield* sleepBetween(simulation, 300, 3000);
  simulation.boot(member);
  yield* sleepBetween(simulation, 6000, 8000);
};
