import type { Task } from "../../runtime/task.js";
import type { Simulation } from "../simulation.js";
import type { TestBackend } from "../test-backend.js";
import { reassignAddress } from "./addresses.js";
import type { FaultScenario } from "./fault.js";
import { rest, disklessMachines, workingBackends } from "./targets.js";

/** How back ends answer meanwhile: wrong bytes, answers twice over, connections that are reset. */
const badManners = { garbagePart: 0.15, doubledPart: 0.3, losesPart: 0.1 };
const stoppedEdges = 3;
const releasedBackEnds = 3;
const handedOver = 2;

const stopInTurn = function* (simulation: Simulation): Task {
  for (const machine of disklessMachines(simulation).slice(0, stoppedEdges)) {
    yield* simulation.stop(machine);
    yield* rest(simulation, 100, 300);
    simulation.boot(machine);
  }
};

const release = function* (simulation: Simulation, some: readonly TestBackend[]): Task {
  for (const one of some) {
    if (yield* simulation.workload.leave(one)) yield* rest(simulation, 2600, 3200);
    one.end();
    yield* rest(simulation, 100, 500);
    one.replace(one.service);
    one.behave(badManners);
  }
};

const reuse = function* (simulation: Simulation, one: TestBackend): Task {
  const { service } = one;
  const others = Object.keys(simulation.profile.backEnds).filter((name) => name !== service);
  one.end();
  yield* reassignAddress(simulation, one, others);
  one.behave(badManners);
  yield* rest(simulation, 3000, 5000);
  one.replace(service);
};

/** Answers go wrong while edges stop, back ends are replaced and addresses change hands. */
export const garbledResponseFaults: Record<string, FaultScenario> = {
  *garbleDuringStops(simulation) {
    const all = workingBackends(simulation);
    for (const one of all) one.behave(badManners);
    const drawn = [...all].sort(() => simulation.random() - 0.5);
    simulation.start(stopInTurn(simulation));
    simulation.start(release(simulation, drawn.slice(0, releasedBackEnds)));
    for (const one of drawn.slice(releasedBackEnds, releasedBackEnds + handedOver))
      simulation.start(reuse(simulation, one));
    yield* rest(simulation, 9000, 12_000);
    for (const one of simulation.testBackends) one.behave({});
  },
};
