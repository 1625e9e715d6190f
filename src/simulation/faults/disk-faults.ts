import { isolate, linksBetween } from "./partitions.js";
import { emptyDisk, reboot } from "./restarts.js";
import { allFormed, diskMachines, leaders, pick, machineNameOf, sleepBetween } from "./targets.js";
import type { FaultScenario } from "./fault.js";

/** Failures of disks, each of which ends by itself. */
export const diskFaults: Record<string, FaultScenario> = {
  *losePowerBeforeSync(simulation) {
    const core = diskMachines(simulation);
    for (const { disk } of core) disk?.stall(1500);
    simulation.start(simulation.workload.putConfig());
    yield* sleepBetween(simulation, 100, 600);
    yield* reboot(simulation, core, true);
  },
  *loseDisk(simulation) {
    const one = allFormed(simulation) ? pick(simulation, diskMachines(simulation)) : undefined;
    if (one) yield* emptyDisk(simulation, one);
  },
  *fillDisk(simulation) {
    const { disk } = pick(simulation, [...leaders(simulation), ...diskMachines(simulation)]) ?? {};
    if (!disk) return;
    disk.isFull = true;
    yield* sleepBetween(simulation, 1000, 6000);
    disk.isFull = false;
  },
  *stallDisk(simulation) {
    const one = pick(simulation, [...leaders(simulation), ...diskMachines(simulation)]);
    one?.disk?.stall(500 + simulation.random() * 5000);
    yield* sleepBetween(simulation, 3000, 6000);
  },
  *loseDiskWhileAnotherLags(simulation) {
    const [leader] = leaders(simulation);
    const voters = leader?.daemon?.replicationNode?.currentMembers.voters ?? [];
    const [lagging, emptied, more] = diskMachines(simulation).filter(
      (one) => one !== leader && voters.includes(one.settings.peers),
    );
    const whole = diskMachines(simulation).every(
      ({ daemon }) => daemon?.replicationNode?.status.state === "formed",
    );
    if (!leader || !lagging || !emptied || more || !whole) return;
    const ways = linksBetween(
      [machineNameOf(lagging)],
      diskMachines(simulation).map(machineNameOf),
    );
    for (const [from, to] of ways) simulation.network.partition(from, to);
    yield* simulation.workload.putConfig();
    const still =
      diskMachines(simulation).every(
        ({ daemon }) => daemon?.replicationNode?.status.state === "formed",
      ) &&
      emptied.gate.isAlive &&
      leader.gate.isAlive;
    if (still) {
      simulation.kill(emptied, true);
      emptied.disk?.wipe();
      simulation.kill(leader);
    }
    for (const [from, to] of ways) simulation.network.heal(from, to);
    if (!still) return;
    simulation.boot(emptied);
    yield* sleepBetween(simulation, 2000, 4000);
    simulation.boot(leader);
    yield* sleepBetween(simulation, 4000, 6000);
  },
  *loseDiskAfterYes(simulation) {
    if (!allFormed(simulation)) return;
    yield* simulation.workload.putConfig();
    const one = allFormed(simulation) ? pick(simulation, leaders(simulation)) : undefined;
    if (one) yield* emptyDisk(simulation, one);
  },
  *fillAndStallDisk(simulation) {
    const one = pick(simulation, [...leaders(simulation), ...diskMachines(simulation)]);
    if (!one?.disk) return;
    one.disk.isFull = true;
    one.disk.stall(500 + simulation.random() * 4000);
    yield* sleepBetween(simulation, 1000, 3000);
    simulation.start(isolate(simulation, [one], simulation.random() < 0.5));
    yield* sleepBetween(simulation, 1000, 3000);
    one.disk.isFull = false;
  },
  *killWhileRejoining(simulation) {
    const one = allFormed(simulation) ? pick(simulation, diskMachines(simulation)) : undefined;
    if (!one) return;
    simulation.kill(one, true);
    one.disk?.wipe();
    for (let round = 0; round < 3; round += 1) {
      yield* sleepBetween(simulation, 50, 400);
      simulation.boot(one);
      yield* sleepBetween(simulation, 20, 500);
      simulation.kill(one, simulation.random() < 0.5);
    }
    simulation.boot(one);
    yield* sleepBetween(simulation, 6000, 8000);
  },
};
