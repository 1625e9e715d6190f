import { deriveBounds } from "../../daemon/bounds.js";
import { sleep } from "../../runtime/clock.js";
import type { Task } from "../../runtime/task.js";
import type { Simulation } from "../simulation.js";
import type { FaultScenario } from "./fault.js";
import { diskMachines, pick, sleepBetween } from "./targets.js";
import { timedCommand } from "./timed-command.js";

const CHANGES_WHILE_DOWN = 300;
/** The changes end after so long, however many there were: other failures may hold them up. */
const MAX_CHANGING_MS = 40_000;
const DOWN_MS = 2500;
const COMMAND_DELAY_MS = 300;

const CHANGES_BEFORE_RESTART = 60;
/** Processes that are killed together come back within so long. */
const MAX_RESTART_DELAY_MS = 900;

const putConfigs = function* (simulation: Simulation, changes: number): Task {
  const untilMs = simulation.virtualClock.nowMs() + MAX_CHANGING_MS;
  for (let made = 0; made < changes && simulation.virtualClock.nowMs() < untilMs; made += 1)
    yield* simulation.workload.putConfig();
};

/** A member is behind by hundreds of changes when the others are lost in turn. */
export const catchUpFaults: Record<string, FaultScenario> = {
  *changeWhileMemberIsAway(simulation) {
    const { catchUpMs } = deriveBounds(simulation.profile).values;
    const away = pick(simulation, diskMachines(simulation));
    if (!away) return;
    simulation.kill(away, true);
    yield* putConfigs(simulation, CHANGES_WHILE_DOWN);
    simulation.boot(away);
    yield* sleep(simulation.clock, catchUpMs);
    for (const other of diskMachines(simulation).filter((one) => one !== away)) {
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
    const away = pick(simulation, diskMachines(simulation));
    if (!away) return;
    simulation.kill(away, true);
    yield* putConfigs(simulation, CHANGES_BEFORE_RESTART);
    const others = diskMachines(simulation);
    for (const other of others) simulation.kill(other);
    simulation.boot(away);
    yield* sleepBetween(simulation, 300, MAX_RESTART_DELAY_MS);
    for (const other of others) simulation.boot(other);
    simulation.start(timedCommand(simulation, "all restarted, one of them behind"));
    yield* sleepBetween(simulation, 3000, 4000);
  },
};
