import type { Task } from "../../runtime/task.js";
import type { Simulation } from "../simulation.js";

/** One kind of failure: it strikes a simulated fleet, and ends by itself. */
export type FaultScenario = (simulation: Simulation) => Task;
