import { sleep } from "../../runtime/clock.js";
import type { Task } from "../../runtime/task.js";
import type { SimulatedMachine } from "../simulated-machine.js";
import type { Simulation } from "../simulation.js";
import { linksBetween, type NetworkLinks } from "./partitions.js";
import type { FaultScenario } from "./fault.js";
import { reboot } from "./restarts.js";
import {
  diskMachines,
  leaders,
  pick,
  machineNameOf,
  sleepBetween,
  workingBackends,
} from "./targets.js";
import { OPERATOR_TIMEOUT_MS } from "./timed-command.js";

/** How long a member stays cut off from the others. */
const cutMs = 20_000;
/** How often two operators race meanwhile. */
const raceEveryMs = 1800;
/** How far above the current version operators choose the next one. */
const mostStep = 5;
const leaderPart = 0.7;

/** Which ways of a cut member are cut. */
type Direction = "both" | "outward" | "inward";

const cutWays = (
  member: SimulatedMachine,
  others: readonly SimulatedMachine[],
  direction: Direction,
): NetworkLinks => {
  const own = [machineNameOf(member)];
  const rest = others.map(machineNameOf);
  if (direction === "both") return linksBetween(own, rest);
  return direction === "outward" ? linksBetween(own, rest, true) : linksBetween(rest, own, true);
};

/** Two operators change the same version under one number, one of them by way of the cut member. */
const raceAcross = (
  simulation: Simulation,
  member: SimulatedMachine,
  others: readonly SimulatedMachine[],
): void => {
  const { operators } = simulation.workload;
  const version = operators.sequence + 1 + Math.floor(simulation.random() * mostStep);
  const outside = (): string | undefined => pick(simulation, others)?.settings.machine;
  let attempts = 0;
  const inside = (): string | undefined => {
    attempts += 1;
    return attempts % 2 === 1 ? member.settings.machine : outside();
  };
  for (const via of [inside, outside])
    simulation.start(
      operators.submit(operators.prepare(version), {
        chooseDaemon: via,
        timeoutMs: OPERATOR_TIMEOUT_MS,
      }),
    );
  simulation.start(operators.read(member.settings.machine));
};

/** A back end leaves in order while the cut lasts, whichever side hears it. */
const leaveMeanwhile = function* (simulation: Simulation): Task {
  const one = pick(simulation, workingBackends(simulation));
  if (!one) return;
  if (yield* simulation.workload.deregister(one)) yield* sleepBetween(simulation, 2600, 3200);
  one.stop();
  yield* sleepBetween(simulation, 200, 900);
  one.replace(one.service);
};

const cutMember = function* (simulation: Simulation, direction: Direction): Task {
  const led = simulation.random() < leaderPart ? leaders(simulation)[0] : undefined;
  const member = led ?? pick(simulation, diskMachines(simulation));
  if (!member) return;
  const others = diskMachines(simulation).filter((other) => other !== member);
  const ways = cutWays(member, others, direction);
  for (const [from, to] of ways) simulation.network.partition(from, to);
  const atMs = simulation.virtualClock.nowMs();
  const untilMs = atMs + cutMs;
  simulation.recorder.environmentRecords.push({
    kind: "memberCut",
    atMs,
    endMs: untilMs,
    daemon: member.settings.machine,
  });
  simulation.start(leaveMeanwhile(simulation));
  while (simulation.virtualClock.nowMs() < untilMs) {
    raceAcross(simulation, member, others);
    yield* sleep(simulation.clock, raceEveryMs);
  }
  simulation.kill(member, simulation.random() < 0.5);
  for (const [from, to] of ways) simulation.network.heal(from, to);
  simulation.boot(member);
  yield* sleepBetween(simulation, 200, 1500);
  yield* reboot(
    simulation,
    others.filter(({ gate }) => gate.isAlive),
  );
};

/** A member of the replicated log is cut off from the others for twenty seconds, and restarted before them. */
export const memberPartitionFaults: Record<string, FaultScenario> = {
  *cutMemberForLong(simulation) {
    yield* cutMember(simulation, "both");
  },
  *cutMemberOutwardForLong(simulation) {
    yield* cutMember(simulation, "outward");
  },
  *cutMemberInwardForLong(simulation) {
    yield* cutMember(simulation, "inward");
  },
};
