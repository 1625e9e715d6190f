import { deriveBounds } from "../../daemon/bounds.js";
import { sleep } from "../../runtime/clock.js";
import type { Task } from "../../runtime/task.js";
import type { SimulatedMachine } from "../simulated-machine.js";
import type { Simulation } from "../simulation.js";
import type { FaultScenario } from "./fault.js";
import { allFormed, diskMachines, leaders, sleepBetween } from "./targets.js";
import { timedCommand } from "./timed-command.js";

/** A planned successor starts so long before the old one is told to stop, a sudden one so long after it is gone. */
const REPLACEMENT_DELAY_MS = 1000;
const DOWN_MS = 3000;
/** An operator's order comes so long after a loss. */
const COMMAND_DELAY_MS = 300;
const POLL_INTERVAL_MS = 50;

/** One way to lose a member; it tells from when on the member no longer counts as lost. */
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
  const wholeMs = simulation.virtualClock.nowMs() + catchUpMs(simulation);
  yield* sleep(simulation.clock, REPLACEMENT_DELAY_MS);
  yield* simulation.stop(member);
  simulation.remove(member);
  return wholeMs;
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

/** The members to lose next: the leader first, then those that have been there longest. */
const chooseMembersToLose = (simulation: Simulation, count: number): SimulatedMachine[] => {
  const led = leaders(simulation);
  const others = diskMachines(simulation).filter((one) => !led.includes(one));
  return [...led, ...others].slice(0, count);
};

/** Loses as many members at once as may be lost; ends when none of them counts as lost any more. */
const loseConcurrently = function* (simulation: Simulation, lose: Loss, name: string): Task {
  const members = chooseMembersToLose(simulation, simulation.profile.tolerate?.machines ?? 1);
  const wholeMs: number[] = [];
  simulation.recorder.environmentRecords.push({
    kind: "membersLost",
    atMs: simulation.virtualClock.nowMs(),
    cause: name,
    machines: members.map(({ settings }) => settings.machine),
  });
  for (const member of members)
    simulation.start(
      (function* () {
        wholeMs.push(yield* lose(simulation, member));
      })(),
    );
  yield* sleep(simulation.clock, COMMAND_DELAY_MS);
  simulation.start(timedCommand(simulation, name));
  while (wholeMs.length < members.length) yield* sleep(simulation.clock, POLL_INTERVAL_MS);
  const untilMs = Math.max(...wholeMs);
  yield* sleep(simulation.clock, Math.max(0, untilMs - simulation.virtualClock.nowMs()));
};

/** Loses members again and again, each time at the first moment that the bounds allow. */
const loseRepeatedly = function* (
  simulation: Simulation,
  losses: ReadonlyArray<readonly [name: string, lose: Loss]>,
): Task {
  // Whoever was lost before counts as lost for so long.
  yield* sleep(simulation.clock, catchUpMs(simulation));
  if (!allFormed(simulation)) return;
  simulation.isLosingDisk = true;
  for (const [name, lose] of losses) yield* loseConcurrently(simulation, lose, name);
  simulation.isLosingDisk = false;
  yield* sleepBetween(simulation, 500, 1000);
};

/** Members are replaced by empty machines, and the next are lost as soon as that is allowed. */
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
