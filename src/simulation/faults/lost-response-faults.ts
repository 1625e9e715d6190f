import type { Task } from "../../runtime/task.js";
import type { SimulatedMachine } from "../simulated-machine.js";
import type { Simulation } from "../simulation.js";
import type { FaultScenario } from "./fault.js";
import { reboot } from "./restarts.js";
import { diskMachines, pick, sleepBetween } from "./targets.js";
import { OPERATOR_TIMEOUT_MS } from "./timed-command.js";

const LOST_RESPONSE_FRACTION = 0.7;
const ROUNDS = 3;
const CONCURRENT_COMMANDS = 8;
/** How far above the current version operators choose the next one. */
const MAX_VERSION_STEP = 4;
/** Within so long of its acknowledgement the member that gave it loses power. */
const MAX_POWER_LOSS_DELAY_MS = 4;

const losePowerSoon = function* (simulation: Simulation, machine: SimulatedMachine): Task {
  yield* sleepBetween(simulation, 0, MAX_POWER_LOSS_DELAY_MS);
  yield* reboot(simulation, [machine], true);
};

/** Orders race for one number, and the member that acknowledges the first of them loses power. */
const raceCommands = (simulation: Simulation): void => {
  const { operators } = simulation.workload;
  let hasStruck = false;
  simulation.onAcknowledged = (machine) => {
    if (hasStruck) return;
    hasStruck = true;
    simulation.start(losePowerSoon(simulation, machine));
  };
  const version = operators.sequence + 1 + Math.floor(simulation.random() * MAX_VERSION_STEP);
  const via = (): string | undefined =>
    pick(simulation, diskMachines(simulation))?.settings.machine;
  for (let order = 0; order < CONCURRENT_COMMANDS; order += 1)
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
    simulation.lostResponseFraction = LOST_RESPONSE_FRACTION;
    for (let round = 0; round < ROUNDS; round += 1) {
      raceCommands(simulation);
      yield* sleepBetween(simulation, 2500, 4500);
    }
    simulation.onAcknowledged = () => undefined;
    simulation.lostResponseFraction = 0;
  },
};
