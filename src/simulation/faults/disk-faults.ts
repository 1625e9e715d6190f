import { isolate, linksBetween } from "./partitions.js";
import { emptyDisk, reboot } from "./restarts.js";
import { allFormed, diskMachines, leaders, pick, machineNameOf, sleepBetween } from "./targets.js";
import type { FaultScenario } from "./fault.js";

/** Faults of disks; each ends by itself. */
export const diskFaults: Record<string, FaultScenario> = {
  /** All members lose power while the write of a config change is not synced yet. */
  *losePowerBeforeSync(simulation) {
    const members = diskMachines(simulation);
    for (const { disk } of members) disk?.stall(1500);
    simulation.start(simulation.workload.putConfig());
    yield* sleepBetween(simulation, 100, 600);
    yield* reboot(simulation, members, true);
  },
  *loseDisk(simulation) {
    const member = allFormed(simulation) ? pick(simulation, diskMachines(simulation)) : undefined;
    if (member) yield* emptyDisk(simulation, member);
  },
  *fillDisk(simulation) {
    const { disk } = pick(simulation, [...leaders(simulation), ...diskMachines(simulation)]) ?? {};
    if (!disk) return;
    disk.isFull = true;
    yield* sleepBetween(simulation, 1000, 6000);
    disk.isFull = false;
  },
  *stallDisk(simulation) {
    const member = pick(simulation, [...leaders(simulation), ...diskMachines(simulation)]);
    member?.disk?.stall(500 + simulation.random() * 5000);
    yield* sleepBetween(simulation, 3000, 6000);
  },
  /**
   * With three voters: one lags behind a partition, the other follower loses its disk and the leader is killed, so that the
   * lagging voter and the emptied one are left alone until the leader restarts.
   */
  *loseDiskWhileAnotherLags(simulation) {
    const [leader] = leaders(simulation);
    const voters = leader?.daemon?.replicationNode?.currentMembers.voters ?? [];
    const [lagging, emptied, thirdFollower] = diskMachines(simulation).filter(
      (machine) => machine !== leader && voters.includes(machine.settings.peers),
    );
    const areAllFormed = diskMachines(simulation).every(
      ({ daemon }) => daemon?.replicationNode?.status.state === "formed",
    );
    if (!leader || !lagging || !emptied || thirdFollower || !areAllFormed) return;
    const links = linksBetween(
      [machineNameOf(lagging)],
      diskMachines(simulation).map(machineNameOf),
    );
    for (const [from, to] of links) simulation.network.partition(from, to);
    yield* simulation.workload.putConfig();
    const mayProceed =
      diskMachines(simulation).every(
        ({ daemon }) => daemon?.replicationNode?.status.state === "formed",
      ) &&
      emptied.gate.isAlive &&
      leader.gate.isAlive;
    if (mayProceed) {
      simulation.kill(emptied, true);
      emptied.disk?.wipe();
      simulation.kill(leader);
    }
    for (const [from, to] of links) simulation.network.heal(from, to);
    if (!mayProceed) return;
    simulation.boot(emptied);
    yield* sleepBetween(simulation, 2000, 4000);
    simulation.boot(leader);
    yield* sleepBetween(simulation, 4000, 6000);
  },
  /** The leader loses its disk right after it has acknowledged a config change. */
  *loseDiskAfterYes(simulation) {
    if (!allFormed(simulation)) return;
    yield* simulation.workload.putConfig();
    const member = allFormed(simulation) ? pick(simulation, leaders(simulation)) : undefined;
    if (member) yield* emptyDisk(simulation, member);
  },
  *fillAndStallDisk(simulation) {
    const member = pick(simulation, [...leaders(simulation), ...diskMachines(simulation)]);
    if (!member?.disk) return;
    member.disk.isFull = true;
    member.disk.stall(500 + simulation.random() * 4000);
    yield* sleepBetween(simulation, 1000, 3000);
    simulation.start(isolate(simulation, [member], simulation.random() < 0.5));
    yield* sleepBetween(simulation, 1000, 3000);
    member.disk.isFull = false;
  },
  /** A member with an empty disk is killed repeatedly while it rejoins. */
  *killWhileRejoining(simulation) {
    const member = allFormed(simulation) ? pick(simulation, diskMachines(simulation)) : undefined;
    if (!member) return;
    simulation.kill(member, true);
    member.disk?.wipe();
    for (let round = 0; round < 3; round += 1) {
      yield* sleepBetween(simulation, 50, 400);
      simulation.boot(member);
      yield* sleepBetween(simulation, 20, 500);
      simulation.kill(member, simulation.random() < 0.5);
    }
    simulation.boot(member);
    yield* sleepBetween(simulation, 6000, 8000);
  },
};
