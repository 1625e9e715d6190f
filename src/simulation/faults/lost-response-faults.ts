import type { Task } from "../../runtime/task.js";
import type { SimulatedMachine } from "../simulated-machine.js";
import type { Simulation } from "../simulation.js";
import type { FaultScenario } from "./fault.js";
import { reboot } from "./restarts.js";
import { diskMachines, pick, sleepBetween } from "./targets.js";
import { OPERATOR_TIMEOUT_MS } from "./timed-command.js";

const lostPart = 0.7;
const rounds = 3;
const ordersAtOnce = 8;
/** How far above the current version operators choose the next one. */
const mostStep = 4;
/** Within so long of its acknowledgement the member that gave it loses power. */
const mostStrikeMs = 4;

const strike = function* (simulation: Simulation, machine: SimulatedMachine): Task {
  yield* sleepBetween(simulation, 0, mostStrikeMs);
  yield* reboot(simulation, [machine], true);
};

/** Orders race for one number, and the member that acknowledges the first of them loses power. */
const raceAndStrike = (simulation: Simulation): void => {
  const { operators } = simulation.workload;
  let hasStruck = false;
  simulation.onAcknowledged = (machine) => {
    if (hasStruck) return;
    hasStruck = true;
    simulation.start(strike(simulation, machine));
  };
  const version = operators.sequence + 1 + Math.floor(simulation.random() * mostStep);
  const via = (): string | undefined =>
    pick(simulation, diskMachines(simulation))?.settings.machine;
  for (let order = 0; order < ordersAtOnce; order += 1)
    simulation.start(
      operators.submit(operators.prepare(version), {
        chooseDaemon: via,
        timeoutMs: OPERATOR_TIMEOUT_MS,
      }),
    );
};

/** Answers to operators are lost, and with them the member that gave one. */
export const lostResponseFaults: Record<string, FaultScenario> = {
  *loseOperatorAnswers(simulation) {
    simulation.lostResponseFraction = lostPart;
    for (let round = 0; round < rounds; round += 1) {
      raceAndStrike(simulation);
      yield* sleepBetween(simulation, 2500, 4500);
    }
    simulation.onAcknowledged = () => undefined;
    simulation.lostResponseFraction = 0;
  },
};
