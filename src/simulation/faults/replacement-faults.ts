import { deriveBounds } from "../../daemon/bounds.js";
import { sleep } from "../../runtime/clock.js";
import type { Task } from "../../runtime/task.js";
import type { SimulatedMachine } from "../simulated-machine.js";
import type { Simulation } from "../simulation.js";
import type { FaultScenario } from "./fault.js";
import { allFormed, diskMachines, leaders, sleepBetween } from "./targets.js";
import { timedCommand } from "./timed-command.js";

/**
 * Delay between a replacement's start and the stop of the member that it replaces, in ms; if the member is lost
 * unplanned, the delay between its loss and the replacement's start.
 */
const REPLACEMENT_DELAY_MS = 1000;
const DOWN_MS = 3000;
/** Delay between a loss and an operator's config change, in ms. */
const COMMAND_DELAY_MS = 300;
const POLL_INTERVAL_MS = 50;

/** A way to lose a member; returns the time from which the member no longer counts as lost. */
type Loss = (simulation: Simulation, member: SimulatedMachine) => Task<number>;

const catchUpMs = (simulation: Simulation): number =>
  deriveBounds(simulation.profile).values.catchUpMs;

const replaceAfterLoss: Loss = function* (simulation, member) {
  simulation.remove(member);
  yield* sleep(simulation.clock, REPLACEMENT_DELAY_MS);
  simulation.addReplacement(member.settings.zone);
  return simulation.virtualClock.nowMs() + catchUpMs(simulation);
};

const replaceBeforeStop: Loss = function* (simulation, member) {
  simulation.addReplacement(member.settings.zone);
  const recoveredMs = simulation.virtualClock.nowMs() + catchUpMs(simulation);
  yield* sleep(simulation.clock, REPLACEMENT_DELAY_MS);
  yield* simulation.stop(member);
  simulation.remove(member);
  return recoveredMs;
};

const loseDisk: Loss = function* (simulation, member) {
  simulation.kill(member, true);
  member.disk?.wipe();
  member.hasLostDisk = true;
  yield* sleep(simulation.clock, REPLACEMENT_DELAY_MS);
  simulation.boot(member);
  return simulation.virtualClock.nowMs() + catchUpMs(simulation);
};

const losePower: Loss = function* (simulation, member) {
  simulation.kill(member, true);
  yield* sleep(simulation.clock, DOWN_MS);
  simulation.boot(member);
  return simulation.virtualClock.nowMs() + catchUpMs(simulation);
};

/** Chooses the members to lose next: the leader first, then the oldest ones. */
const chooseMembersToLose = (simulation: Simulation, count: number): SimulatedMachine[] => {
  const currentLeaders = leaders(simulation);
  const others = diskMachines(simulation).filter((machine) => !currentLeaders.includes(machine));
  return [...currentLeaders, ...others].slice(0, count);
};

/** Loses as many members at once as the profile tolerates, and waits until none of them counts as lost. */
const loseConcurrently = function* (simulation: Simulation, lose: Loss, cause: string): Task {
  const members = chooseMembersToLose(simulation, simulation.profile.tolerate?.machines ?? 1);
  const recoveredMs: number[] = [];
  simulation.recorder.environmentRecords.push({
    kind: "membersLost",
    atMs: simulation.virtualClock.nowMs(),
    cause,
    machines: members.map(({ settings }) => settings.machine),
  });
  for (const member of members)
    simulation.start(
      (function* () {
        recoveredMs.push(yield* lose(simulation, member));
      })(),
    );
  yield* sleep(simulation.clock, COMMAND_DELAY_MS);
  simulation.start(timedCommand(simulation, cause));
  while (recoveredMs.length < members.length) yield* sleep(simulation.clock, POLL_INTERVAL_MS);
  const untilMs = Math.max(...recoveredMs);
  yield* sleep(simulation.clock, Math.max(0, untilMs - simulation.virtualClock.nowMs()));
};

/** Loses members repeatedly, each time as soon as the profile's bounds allow. */
const loseRepeatedly = function* (
  simulation: Simulation,
  losses: ReadonlyArray<readonly [cause: string, lose: Loss]>,
): Task {
  // A member lost by an earlier fault counts as lost until it has caught up.
  yield* sleep(simulation.clock, catchUpMs(simulation));
  if (!allFormed(simulation)) return;
  simulation.isLosingDisk = true;
  for (const [cause, lose] of losses) yield* loseConcurrently(simulation, lose, cause);
  simulation.isLosingDisk = false;
  yield* sleepBetween(simulation, 500, 1000);
};

/** Members are replaced by machines with empty disks, and the next are lost as soon as the bounds allow. */
export const replacementFaults: Record<string, FaultScenario> = {
  *replaceMembersSuddenly(simulation) {
    yield* loseRepeatedly(simulation, [
      ["replaced", replaceAfterLoss],
      ["replaced", replaceAfterLoss],
      ["emptied", loseDisk],
      ["unpowered", losePower],
    ]);
  },
  *replaceMembersInOrder(simulation) {
    yield* loseRepeatedly(simulation, [
      ["replaced in order", replaceBeforeStop],
      ["replaced in order", replaceBeforeStop],
      ["unpowered", losePower],
      ["emptied", loseDisk],
    ]);
  },
  *replaceMembersAfterLosses(simulation) {
    yield* loseRepeatedly(simulation, [
      ["emptied", loseDisk],
      ["replaced", replaceAfterLoss],
      ["unpowered", losePower],
      ["replaced in order", replaceBeforeStop],
    ]);
  },
};
