import type { Task } from "../../runtime/task.js";
import type { Simulation } from "../simulation.js";
import type { StandIn } from "../test-backend.js";
import { pick, rest, working } from "./targets.js";

/** A back end ends without a word. */
export const crashBackEnd = function* (simulation: Simulation): Task<StandIn | undefined> {
  const one = pick(simulation, working(simulation));
  one?.end();
  yield* rest(simulation, 500, 6000);
  return one;
};

/** A back end of another service comes up at the address of one that ended. */
export const handOver = function* (
  simulation: Simulation,
  one: StandIn,
  services: readonly string[],
): Task {
  yield* rest(simulation, 0, 3000);
  one.replace(pick(simulation, services) ?? one.service);
  simulation.ledger.world.push({
    kind: "reused",
    atMs: simulation.time.nowMs(),
    address: one.address,
    service: one.service,
  });
};
