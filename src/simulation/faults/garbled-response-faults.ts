import type { Task } from "../../runtime/task.js";
import type { Simulation } from "../simulation.js";
import type { TestBackend } from "../test-backend.js";
import { reassignAddress } from "./addresses.js";
import type { FaultScenario } from "./fault.js";
import { sleepBetween, disklessMachines, workingBackends } from "./targets.js";

/** How back ends answer meanwhile: wrong bytes, answers twice over, connections that are reset. */
const badManners = { garbageFraction: 0.15, duplicatedFraction: 0.3, lossFraction: 0.1 };
const stoppedEdges = 3;
const releasedBackEnds = 3;
const handedOver = 2;

const stopInTurn = function* (simulation: Simulation): Task {
  for (const machine of disklessMachines(simulation).slice(0, stoppedEdges)) {
    yield* simulation.stop(machine);
    yield* sleepBetween(simulation, 100, 300);
    simulation.boot(machine);
  }
};

const release = function* (simulation: Simulation, some: readonly TestBackend[]): Task {
  for (const one of some) {
    if (yield* simulation.workload.deregister(one)) yield* sleepBetween(simulation, 2600, 3200);
    one.stop();
    yield* sleepBetween(simulation, 100, 500);
    one.replace(one.service);
    one.setBehavior(badManners);
  }
};

const reuse = function* (simulation: Simulation, one: TestBackend): Task {
  const { service } = one;
  const others = Object.keys(simulation.profile.backends).filter((name) => name !== service);
  one.stop();
  yield* reassignAddress(simulation, one, others);
  one.setBehavior(badManners);
  yield* sleepBetween(simulation, 3000, 5000);
  one.replace(service);
};

/** Answers go wrong while edges stop, back ends are replaced and addresses change hands. */
export const garbledResponseFaults: Record<string, FaultScenario> = {
  *garbleDuringStops(simulation) {
    const all = workingBackends(simulation);
    for (const one of all) one.setBehavior(badManners);
    const drawn = [...all].sort(() => simulation.random() - 0.5);
    simulation.start(stopInTurn(simulation));
    simulation.start(release(simulation, drawn.slice(0, releasedBackEnds)));
    for (const one of drawn.slice(releasedBackEnds, releasedBackEnds + handedOver))
      simulation.start(reuse(simulation, one));
    yield* sleepBetween(simulation, 9000, 12_000);
    for (const one of simulation.testBackends) one.setBehavior({});
  },
};
