import type { Task } from "../../runtime/task.js";
import type { Simulation } from "../simulation.js";
import type { TestBackend } from "../test-backend.js";
import { pick, sleepBetween, workingBackends } from "./targets.js";

/** Crashes a random backend, which does not deregister; returns it after a random delay. */
export const crashBackend = function* (simulation: Simulation): Task<TestBackend | undefined> {
  const backend = pick(simulation, workingBackends(simulation));
  backend?.stop();
  yield* sleepBetween(simulation, 500, 6000);
  return backend;
};

/** Starts a backend of another service at the address of one that has stopped. */
export const reassignAddress = function* (
  simulation: Simulation,
  backend: TestBackend,
  services: readonly string[],
): Task {
  yield* sleepBetween(simulation, 0, 3000);
  backend.replace(pick(simulation, services) ?? backend.service);
  simulation.recorder.environmentRecords.push({
    kind: "reused",
    atMs: simulation.virtualClock.nowMs(),
    address: backend.address,
    service: backend.service,
  });
};
