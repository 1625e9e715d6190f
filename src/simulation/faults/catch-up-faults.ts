import { boundsOf } from "../../daemon/bounds.js";
import { sleep } from "../../runtime/clock.js";
import type { Task } from "../../runtime/task.js";
import type { Simulation } from "../simulation.js";
import type { FaultScenario } from "./fault.js";
import { diskMachines, pick, sleepBetween } from "./targets.js";
import { timedCommand } from "./timed-command.js";

const changesMeanwhile = 300;
/** The changes end after so long, however many there were: other failures may hold them up. */
const mostChangingMs = 40_000;
const downMs = 2500;
const orderAfterMs = 300;

const changesBeforeRestart = 60;
/** Processes that are killed together come back within so long. */
const mostRestartMs = 900;

const changeManyTimes = function* (simulation: Simulation, changes: number): Task {
  const untilMs = simulation.virtualClock.nowMs() + mostChangingMs;
  for (let made = 0; made < changes && simulation.virtualClock.nowMs() < untilMs; made += 1)
    yield* simulation.workload.putConfig();
};

/** A member is behind by hundreds of changes when the others are lost in turn. */
export const catchUpFaults: Record<string, FaultScenario> = {
  *changeWhileMemberIsAway(simulation) {
    const { catchUpMs } = boundsOf(simulation.profile).values;
    const away = pick(simulation, diskMachines(simulation));
    if (!away) return;
    simulation.kill(away, true);
    yield* changeManyTimes(simulation, changesMeanwhile);
    simulation.boot(away);
    yield* sleep(simulation.clock, catchUpMs);
    for (const other of diskMachines(simulation).filter((one) => one !== away)) {
      simulation.kill(other, true);
      yield* sleep(simulation.clock, orderAfterMs);
      simulation.start(timedCommand(simulation, "one lost after many changes"));
      yield* sleep(simulation.clock, downMs);
      simulation.boot(other);
      yield* sleep(simulation.clock, catchUpMs);
    }
    yield* sleepBetween(simulation, 200, 500);
  },
  *restartAllWithMemberBehind(simulation) {
    const away = pick(simulation, diskMachines(simulation));
    if (!away) return;
    simulation.kill(away, true);
    yield* changeManyTimes(simulation, changesBeforeRestart);
    const others = diskMachines(simulation);
    for (const other of others) simulation.kill(other);
    simulation.boot(away);
    yield* sleepBetween(simulation, 300, mostRestartMs);
    for (const other of others) simulation.boot(other);
    simulation.start(timedCommand(simulation, "all restarted, one of them behind"));
    yield* sleepBetween(simulation, 3000, 4000);
  },
};
