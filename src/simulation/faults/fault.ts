import type { Task } from "../../runtime/task.js";
import type { Simulation } from "../simulation.js";

/** One kind of fault: it is injected into a simulated fleet, and ends by itself. */
export type FaultScenario = (simulation: Simulation) => Task;
