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
const PARTITION_MS = 20_000;
/** How often two operators race meanwhile. */
const RACE_INTERVAL_MS = 1800;
/** How far above the current version operators choose the next one. */
const MAX_VERSION_STEP = 5;
const LEADER_FRACTION = 0.7;

/** Which ways of a cut member are cut. */
type Direction = "both" | "outward" | "inward";

const linksToPartition = (
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
const raceOnBothSides = (
  simulation: Simulation,
  member: SimulatedMachine,
  others: readonly SimulatedMachine[],
): void => {
  const { operators } = simulation.workload;
  const version = operators.sequence + 1 + Math.floor(simulation.random() * MAX_VERSION_STEP);
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
const replaceBackend = function* (simulation: Simulation): Task {
  const one = pick(simulation, workingBackends(simulation));
  if (!one) return;
  if (yield* simulation.workload.deregister(one)) yield* sleepBetween(simulation, 2600, 3200);
  one.stop();
  yield* sleepBetween(simulation, 200, 900);
  one.replace(one.service);
};

const partitionMember = function* (simulation: Simulation, direction: Direction): Task {
  const led = simulation.random() < LEADER_FRACTION ? leaders(simulation)[0] : undefined;
  const member = led ?? pick(simulation, diskMachines(simulation));
  if (!member) return;
  const others = diskMachines(simulation).filter((other) => other !== member);
  const ways = linksToPartition(member, others, direction);
  for (const [from, to] of ways) simulation.network.partition(from, to);
  const atMs = simulation.virtualClock.nowMs();
  const untilMs = atMs + PARTITION_MS;
  simulation.recorder.environmentRecords.push({
    kind: "memberCut",
    atMs,
    endMs: untilMs,
    daemon: member.settings.machine,
  });
  simulation.start(replaceBackend(simulation));
  while (simulation.virtualClock.nowMs() < untilMs) {
    raceOnBothSides(simulation, member, others);
    yield* sleep(simulation.clock, RACE_INTERVAL_MS);
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
    yield* partitionMember(simulation, "both");
  },
  *cutMemberOutwardForLong(simulation) {
    yield* partitionMember(simulation, "outward");
  },
  *cutMemberInwardForLong(simulation) {
    yield* partitionMember(simulation, "inward");
  },
};
