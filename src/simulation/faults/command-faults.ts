import { sleepBetween } from "./targets.js";
import type { FaultScenario } from "./fault.js";

/** Unusual loads of config changes by operators; each ends by itself. */
export const commandFaults: Record<string, FaultScenario> = {
  *stormConfigs(simulation) {
    for (let count = 0; count < 12; count += 1) {
      simulation.start(simulation.workload.putConfig());
      yield* sleepBetween(simulation, 5, 250);
    }
  },
  *raceOperators(simulation) {
    for (let count = 0; count < 4; count += 1) {
      for (let racer = 0; racer < 3; racer += 1) simulation.start(simulation.workload.putConfig());
      yield* simulation.workload.putMalformed();
      yield* sleepBetween(simulation, 400, 1200);
    }
  },
  *growRoutes(simulation) {
    simulation.workload.growRoutes(150);
    yield* simulation.workload.putConfig();
  },
  *growRoutesInStorm(simulation) {
    simulation.workload.growRoutes(1500);
    for (let count = 0; count < 6; count += 1) {
      simulation.start(simulation.workload.putConfig());
      yield* sleepBetween(simulation, 50, 300);
    }
    yield* sleepBetween(simulation, 1000, 2000);
    simulation.workload.growRoutes(-1500);
  },
};
