import type { Task } from "../../runtime/task.js";
import type { Simulation } from "../simulation.js";
import type { TestBackend } from "../test-backend.js";
import { pick, sleepBetween, workingBackends } from "./targets.js";

/** A back end ends without a word. */
export const crashBackend = function* (simulation: Simulation): Task<TestBackend | undefined> {
  const one = pick(simulation, workingBackends(simulation));
  one?.stop();
  yield* sleepBetween(simulation, 500, 6000);
  return one;
};

/** A back end of another service comes up at the address of one that ended. */
export const reassignAddress = function* (
  simulation: Simulation,
  one: TestBackend,
  services: readonly string[],
): Task {
  yield* sleepBetween(simulation, 0, 3000);
  one.replace(pick(simulation, services) ?? one.service);
  simulation.recorder.environmentRecords.push({
    kind: "reused",
    atMs: simulation.virtualClock.nowMs(),
    address: one.address,
    service: one.service,
  });
};
