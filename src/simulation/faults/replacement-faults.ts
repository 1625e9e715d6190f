import { boundsOf } from "../../daemon/bounds.js";
import { sleep } from "../../runtime/clock.js";
import type { Task } from "../../runtime/task.js";
import type { SimulatedMachine } from "../simulated-machine.js";
import type { Simulation } from "../simulation.js";
import type { FaultScenario } from "./fault.js";
import { allFormed, diskMachines, leaders, sleepBetween } from "./targets.js";
import { timedCommand } from "./timed-command.js";

/** A planned successor starts so long before the old one is told to stop, a sudden one so long after it is gone. */
const successorMs = 1000;
const downMs = 3000;
/** An operator's order comes so long after a loss. */
const orderAfterMs = 300;
const watchMs = 50;

/** One way to lose a member; it tells from when on the member no longer counts as lost. */
type Loss = (simulation: Simulation, member: SimulatedMachine) => Task<number>;

const syncMs = (simulation: Simulation): number => boundsOf(simulation.profile).values.catchUpMs;

const replacedSuddenly: Loss = function* (simulation, member) {
  simulation.remove(member);
  yield* sleep(simulation.clock, successorMs);
  simulation.addReplacement(member.settings.zone);
  return simulation.virtualClock.nowMs() + syncMs(simulation);
};

const replacedInOrder: Loss = function* (simulation, member) {
  simulation.addReplacement(member.settings.zone);
  const wholeMs = simulation.virtualClock.nowMs() + syncMs(simulation);
  yield* sleep(simulation.clock, successorMs);
  yield* simulation.stop(member);
  simulation.remove(member);
  return wholeMs;
};

const emptied: Loss = function* (simulation, member) {
  simulation.kill(member, true);
  member.disk?.wipe();
  member.hasLostDisk = true;
  yield* sleep(simulation.clock, successorMs);
  simulation.boot(member);
  return simulation.virtualClock.nowMs() + syncMs(simulation);
};

const unpowered: Loss = function* (simulation, member) {
  simulation.kill(member, true);
  yield* sleep(simulation.clock, downMs);
  simulation.boot(member);
  return simulation.virtualClock.nowMs() + syncMs(simulation);
};

/** The members to lose next: the leader first, then those that have been there longest. */
const nextLost = (simulation: Simulation, count: number): SimulatedMachine[] => {
  const led = leaders(simulation);
  const others = diskMachines(simulation).filter((one) => !led.includes(one));
  return [...led, ...others].slice(0, count);
};

/** Loses as many members at once as may be lost; ends when none of them counts as lost any more. */
const loseAtOnce = function* (simulation: Simulation, lose: Loss, name: string): Task {
  const members = nextLost(simulation, simulation.profile.tolerate?.machines ?? 1);
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
  yield* sleep(simulation.clock, orderAfterMs);
  simulation.start(timedCommand(simulation, name));
  while (wholeMs.length < members.length) yield* sleep(simulation.clock, watchMs);
  const untilMs = Math.max(...wholeMs);
  yield* sleep(simulation.clock, Math.max(0, untilMs - simulation.virtualClock.nowMs()));
};

/** Loses members again and again, each time at the first moment that the bounds allow. */
const loseInTurn = function* (
  simulation: Simulation,
  losses: ReadonlyArray<readonly [name: string, lose: Loss]>,
): Task {
  // Whoever was lost before counts as lost for so long.
  yield* sleep(simulation.clock, syncMs(simulation));
  if (!allFormed(simulation)) return;
  simulation.isLosingDisk = true;
  for (const [name, lose] of losses) yield* loseAtOnce(simulation, lose, name);
  simulation.isLosingDisk = false;
  yield* sleepBetween(simulation, 500, 1000);
};

/** Members are replaced by empty machines, and the next are lost as soon as that is allowed. */
export const replacementFaults: Record<string, FaultScenario> = {
  *replaceMembersSuddenly(simulation) {
    yield* loseInTurn(simulation, [
      ["replaced", replacedSuddenly],
      ["replaced", replacedSuddenly],
      ["emptied", emptied],
      ["unpowered", unpowered],
    ]);
  },
  *replaceMembersInOrder(simulation) {
    yield* loseInTurn(simulation, [
      ["replaced in order", replacedInOrder],
      ["replaced in order", replacedInOrder],
      ["unpowered", unpowered],
      ["emptied", emptied],
    ]);
  },
  *replaceMembersAfterLosses(simulation) {
    yield* loseInTurn(simulation, [
      ["emptied", emptied],
      ["replaced", replacedSuddenly],
      ["unpowered", unpowered],
      ["replaced in order", replacedInOrder],
    ]);
  },
};
