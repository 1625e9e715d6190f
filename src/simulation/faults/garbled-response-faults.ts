import type { Task } from "../../runtime/task.js";
import type { Simulation } from "../simulation.js";
import type { TestBackend } from "../test-backend.js";
import { reassignAddress } from "./addresses.js";
import type { FaultScenario } from "./fault.js";
import { sleepBetween, disklessMachines, workingBackends } from "./targets.js";

/** How backends respond during the fault: with garbage, duplicate responses and connection resets. */
const GARBLED_BEHAVIOR = { garbageFraction: 0.15, duplicatedFraction: 0.3, lossFraction: 0.1 };
const STOPPED_EDGES = 3;
const REPLACED_BACKENDS = 3;
const REASSIGNED_ADDRESSES = 2;

const restartEdgesInTurn = function* (simulation: Simulation): Task {
  for (const machine of disklessMachines(simulation).slice(0, STOPPED_EDGES)) {
    yield* simulation.stop(machine);
    yield* sleepBetween(simulation, 100, 300);
    simulation.boot(machine);
  }
};

const replaceBackends = function* (simulation: Simulation, backends: readonly TestBackend[]): Task {
  for (const backend of backends) {
    if (yield* simulation.workload.deregister(backend)) yield* sleepBetween(simulation, 2600, 3200);
    backend.stop();
    yield* sleepBetween(simulation, 100, 500);
    backend.replace(backend.service);
    backend.setBehavior(GARBLED_BEHAVIOR);
  }
};

const reassignTemporarily = function* (simulation: Simulation, backend: TestBackend): Task {
  const { service } = backend;
  const otherServices = Object.keys(simulation.profile.backends).filter((name) => name !== service);
  backend.stop();
  yield* reassignAddress(simulation, backend, otherServices);
  backend.setBehavior(GARBLED_BEHAVIOR);
  yield* sleepBetween(simulation, 3000, 5000);
  backend.replace(service);
};

/** Responses are garbled, duplicated or lost while edges restart, backends are replaced and addresses are reassigned. */
export const garbledResponseFaults: Record<string, FaultScenario> = {
  *garbleDuringStops(simulation) {
    const backends = workingBackends(simulation);
    for (const backend of backends) backend.setBehavior(GARBLED_BEHAVIOR);
    const shuffled = [...backends].sort(() => simulation.random() - 0.5);
    simulation.start(restartEdgesInTurn(simulation));
    simulation.start(replaceBackends(simulation, shuffled.slice(0, REPLACED_BACKENDS)));
    for (const backend of shuffled.slice(
      REPLACED_BACKENDS,
      REPLACED_BACKENDS + REASSIGNED_ADDRESSES,
    ))
      simulation.start(reassignTemporarily(simulation, backend));
    yield* sleepBetween(simulation, 9000, 12_000);
    for (const backend of simulation.testBackends) backend.setBehavior({});
  },
};
