import { deriveBounds } from "../../daemon/bounds.js";
import { sleep } from "../../runtime/clock.js";
import type { Task } from "../../runtime/task.js";
import type { Simulation } from "../simulation.js";
import type { FaultScenario } from "./fault.js";
import { diskMachines, pick, sleepBetween } from "./targets.js";
import { timedCommand } from "./timed-command.js";

const CHANGES_WHILE_DOWN = 300;
/** The time limit for the config changes, since other faults may delay them. */
const MAX_CHANGING_MS = 40_000;
const DOWN_MS = 2500;
const COMMAND_DELAY_MS = 300;

const CHANGES_BEFORE_RESTART = 60;
/** The longest delay until the processes that were killed together are started again. */
const MAX_RESTART_DELAY_MS = 900;

const putConfigs = function* (simulation: Simulation, count: number): Task {
  const untilMs = simulation.virtualClock.nowMs() + MAX_CHANGING_MS;
  for (let index = 0; index < count && simulation.virtualClock.nowMs() < untilMs; index += 1)
    yield* simulation.workload.putConfig();
};

/** Faults in which a member lags many config changes behind while the others are killed. */
export const catchUpFaults: Record<string, FaultScenario> = {
  *changeWhileMemberIsAway(simulation) {
    const { catchUpMs } = deriveBounds(simulation.profile).values;
    const stoppedMember = pick(simulation, diskMachines(simulation));
    if (!stoppedMember) return;
    simulation.kill(stoppedMember, true);
    yield* putConfigs(simulation, CHANGES_WHILE_DOWN);
    simulation.boot(stoppedMember);
    yield* sleep(simulation.clock, catchUpMs);
    for (const other of diskMachines(simulation).filter((member) => member !== stoppedMember)) {
      simulation.kill(other, true);
      yield* sleep(simulation.clock, COMMAND_DELAY_MS);
      simulation.start(timedCommand(simulation, "one lost after many changes"));
      yield* sleep(simulation.clock, DOWN_MS);
      simulation.boot(other);
      yield* sleep(simulation.clock, catchUpMs);
    }
    yield* sleepBetween(simulation, 200, 500);
  },
  *restartAllWithMemberBehind(simulation) {
    const stoppedMember = pick(simulation, diskMachines(simulation));
    if (!stoppedMember) return;
    simulation.kill(stoppedMember, true);
    yield* putConfigs(simulation, CHANGES_BEFORE_RESTART);
    const others = diskMachines(simulation);
    for (const other of others) simulation.kill(other);
    simulation.boot(stoppedMember);
    yield* sleepBetween(simulation, 300, MAX_RESTART_DELAY_MS);
    for (const other of others) simulation.boot(other);
    simulation.start(timedCommand(simulation, "all restarted, one of them behind"));
    yield* sleepBetween(simulation, 3000, 4000);
  },
};
