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

/** How long a member is partitioned from the others. */
const PARTITION_MS = 20_000;
/** How often two operators send concurrent changes during the partition. */
const RACE_INTERVAL_MS = 1800;
/** The largest step from the current version to the one that operators request. */
const MAX_VERSION_STEP = 5;
/** The probability that the partitioned member is the leader. */
const LEADER_FRACTION = 0.7;

/** Which direction of a member's links is partitioned. */
type Direction = "both" | "outward" | "inward";

const linksToPartition = (
  member: SimulatedMachine,
  others: readonly SimulatedMachine[],
  direction: Direction,
): NetworkLinks => {
  const memberLocations = [machineNameOf(member)];
  const otherLocations = others.map(machineNameOf);
  if (direction === "both") return linksBetween(memberLocations, otherLocations);
  return direction === "outward"
    ? linksBetween(memberLocations, otherLocations, true)
    : linksBetween(otherLocations, memberLocations, true);
};

/** Two operators change the same version and request the same new one, one of them through the partitioned member. */
const raceOnBothSides = (
  simulation: Simulation,
  member: SimulatedMachine,
  others: readonly SimulatedMachine[],
): void => {
  const { operators } = simulation.workload;
  const version = operators.sequence + 1 + Math.floor(simulation.random() * MAX_VERSION_STEP);
  const chooseOther = (): string | undefined => pick(simulation, others)?.settings.machine;
  let attempts = 0;
  const chooseMemberFirst = (): string | undefined => {
    attempts += 1;
    return attempts % 2 === 1 ? member.settings.machine : chooseOther();
  };
  for (const chooseDaemon of [chooseMemberFirst, chooseOther])
    simulation.start(
      operators.submit(operators.prepare(version), {
        chooseDaemon,
        timeoutMs: OPERATOR_TIMEOUT_MS,
      }),
    );
  simulation.start(operators.read(member.settings.machine));
};

/** Deregisters and replaces a backend during the partition, through a daemon on either side. */
const replaceBackend = function* (simulation: Simulation): Task {
  const backend = pick(simulation, workingBackends(simulation));
  if (!backend) return;
  if (yield* simulation.workload.deregister(backend)) yield* sleepBetween(simulation, 2600, 3200);
  backend.stop();
  yield* sleepBetween(simulation, 200, 900);
  backend.replace(backend.service);
};

const partitionMember = function* (simulation: Simulation, direction: Direction): Task {
  const leader = simulation.random() < LEADER_FRACTION ? leaders(simulation)[0] : undefined;
  const member = leader ?? pick(simulation, diskMachines(simulation));
  if (!member) return;
  const others = diskMachines(simulation).filter((other) => other !== member);
  const links = linksToPartition(member, others, direction);
  for (const [from, to] of links) simulation.network.partition(from, to);
  const atMs = simulation.virtualClock.nowMs();
  const untilMs = atMs + PARTITION_MS;
  simulation.recorder.environmentRecords.push({
    kind: "memberPartitioned",
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
  for (const [from, to] of links) simulation.network.heal(from, to);
  simulation.boot(member);
  yield* sleepBetween(simulation, 200, 1500);
  yield* reboot(
    simulation,
    others.filter(({ gate }) => gate.isAlive),
  );
};

/** A member of the replicated log is partitioned from the others for 20 s, and restarted before they are. */
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
