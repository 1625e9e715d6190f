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
/** The largest step from the current version to the one that operators request. */
const MAX_VERSION_STEP = 4;
/** The longest delay between a member's acknowledgment and its loss of power. */
const MAX_POWER_LOSS_DELAY_MS = 4;

const losePowerSoon = function* (simulation: Simulation, machine: SimulatedMachine): Task {
  yield* sleepBetween(simulation, 0, MAX_POWER_LOSS_DELAY_MS);
  yield* reboot(simulation, [machine], true);
};

/** Sends concurrent changes that request the same version; the member that acknowledges the first one loses power. */
const raceCommands = (simulation: Simulation): void => {
  const { operators } = simulation.workload;
  let hasLostPower = false;
  simulation.onAcknowledged = (machine) => {
    if (hasLostPower) return;
    hasLostPower = true;
    simulation.start(losePowerSoon(simulation, machine));
  };
  const version = operators.sequence + 1 + Math.floor(simulation.random() * MAX_VERSION_STEP);
  const chooseDaemon = (): string | undefined =>
    pick(simulation, diskMachines(simulation))?.settings.machine;
  for (let count = 0; count < CONCURRENT_COMMANDS; count += 1)
    simulation.start(
      operators.submit(operators.prepare(version), {
        chooseDaemon,
        timeoutMs: OPERATOR_TIMEOUT_MS,
      }),
    );
};

/** Responses to operators are lost, and the member that sent one loses power. */
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
