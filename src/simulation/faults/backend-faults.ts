import { crashBackend, reassignAddress } from "./addresses.js";
import { partition, pickDirections, linksBetween } from "./partitions.js";
import { reboot } from "./restarts.js";
import {
  leaders,
  pick,
  machineNameOf,
  sleepBetween,
  disklessMachines,
  workingBackends,
} from "./targets.js";
import type { FaultScenario } from "./fault.js";

/** Failures of back ends, each of which ends by itself. */
export const backendFaults: Record<string, FaultScenario> = {
  *crashBackEnd(simulation) {
    const one = yield* crashBackend(simulation);
    one?.replace(one.service);
  },
  *loseAnswers(simulation) {
    const some = workingBackends(simulation).filter(() => simulation.random() < 0.5);
    for (const one of some) one.setBehavior({ lossFraction: 0.5 });
    yield* sleepBetween(simulation, 2000, 8000);
    for (const one of some) one.setBehavior({});
  },
  *sendGarbage(simulation) {
    const some = workingBackends(simulation).filter(() => simulation.random() < 0.3);
    for (const one of some) one.setBehavior({ garbageFraction: 0.4, truncatedFraction: 0.4 });
    yield* sleepBetween(simulation, 2000, 6000);
    for (const one of some) one.setBehavior({});
  },
  *slowBackEnds(simulation) {
    const some = workingBackends(simulation).filter(() => simulation.random() < 0.3);
    for (const one of some) one.setBehavior({ slowFactor: 30 + simulation.random() * 300 });
    yield* sleepBetween(simulation, 2000, 8000);
    for (const one of some) one.setBehavior({});
  },
  *replaceBackEnds(simulation) {
    for (const one of workingBackends(simulation).filter(() => simulation.random() < 0.2)) {
      if (yield* simulation.workload.deregister(one)) yield* sleepBetween(simulation, 2600, 3200);
      one.stop();
      yield* sleepBetween(simulation, 200, 900);
      one.replace(one.service);
    }
  },
  *leaveDuringLeaderChange(simulation) {
    const one = pick(simulation, workingBackends(simulation));
    const [leader] = leaders(simulation);
    if (!one || !leader) return;
    simulation.start(reboot(simulation, [leader]));
    yield* simulation.workload.deregister(one);
    yield* sleepBetween(simulation, 4000, 5000);
    one.replace(one.service);
  },
  *reuseAddress(simulation) {
    const one = yield* crashBackend(simulation);
    if (!one) return;
    const services = Object.keys(simulation.profile.backends).filter(
      (service) => service !== one.service,
    );
    const few =
      workingBackends(simulation).filter(({ service }) => service === one.service).length < 5;
    const service = few ? one.service : (pick(simulation, services) ?? one.service);
    one.replace(service);
    simulation.recorder.environmentRecords.push({
      kind: "reused",
      atMs: simulation.virtualClock.nowMs(),
      address: one.address,
      service,
    });
  },
  *reuseManyAddresses(simulation) {
    const services = Object.keys(simulation.profile.backends);
    const some = workingBackends(simulation).filter(() => simulation.random() < 0.35);
    if (simulation.random() < 0.5) simulation.start(reboot(simulation, leaders(simulation)));
    else
      simulation.start(
        partition(
          simulation,
          pickDirections(
            simulation,
            linksBetween(
              disklessMachines(simulation).slice(0, 3).map(machineNameOf),
              some.map(({ address }) => address),
            ),
          ),
          300,
          3000,
        ),
      );
    const former = some.map(({ service }) => service);
    for (const one of some) {
      one.stop();
      simulation.start(
        reassignAddress(
          simulation,
          one,
          services.filter((service) => service !== one.service),
        ),
      );
    }
    yield* sleepBetween(simulation, 6000, 8000);
    for (const [at, one] of some.entries()) one.replace(former[at] ?? one.service);
  },
  *emptyService(simulation) {
    const service = pick(simulation, Object.keys(simulation.profile.backends));
    const all = workingBackends(simulation).filter((one) => one.service === service);
    const leaves = simulation.random() < 0.5;
    if (leaves) {
      for (const one of all) simulation.start(simulation.workload.deregister(one));
      yield* sleepBetween(simulation, 2600, 3200);
    }
    for (const one of all) one.stop();
    yield* sleepBetween(simulation, 500, 6000);
    for (const one of all) one.replace(one.service);
  },
  *crashMostBackEnds(simulation) {
    const some = workingBackends(simulation).filter(() => simulation.random() < 0.75);
    for (const one of some) one.stop();
    yield* sleepBetween(simulation, 500, 5000);
    for (const one of some) one.replace(one.service);
  },
  *breakDownService(simulation) {
    const service = pick(simulation, Object.keys(simulation.profile.backends));
    const all = workingBackends(simulation).filter((one) => one.service === service);
    const behavior =
      pick(simulation, [
        { lossFraction: 1 },
        { garbageFraction: 1 },
        { truncatedFraction: 1 },
        { lossFraction: 0.7, garbageFraction: 0.5 },
      ]) ?? {};
    for (const one of all) one.setBehavior(behavior);
    if (simulation.random() < 0.5) {
      yield* sleepBetween(simulation, 300, 2000);
      yield* reboot(simulation, leaders(simulation));
    }
    yield* sleepBetween(simulation, 2000, 8000);
    for (const one of all) one.setBehavior({});
  },
  *restartEdgesInBreakdown(simulation) {
    const all = workingBackends(simulation);
    for (const one of all) one.setBehavior({ lossFraction: 0.6 });
    const some = disklessMachines(simulation).slice(0, 3);
    for (let round = 0; round < 4; round += 1) {
      for (const machine of some) simulation.kill(machine);
      yield* sleepBetween(simulation, 50, 400);
      for (const machine of some) simulation.boot(machine);
      yield* sleepBetween(simulation, 600, 2500);
    }
    for (const one of all) one.setBehavior({});
  },
  *stopCallersAfterPeak(simulation) {
    simulation.workload.clientFactor = 3;
    yield* sleepBetween(simulation, 2000, 3000);
    const all = workingBackends(simulation);
    for (const one of all) one.setBehavior({ lossFraction: 0.9, slowFactor: 20 });
    yield* sleepBetween(simulation, 100, 1500);
    simulation.workload.clientFactor = 0;
    yield* sleepBetween(simulation, 3000, 6000);
    for (const one of all) one.setBehavior({});
    simulation.workload.clientFactor = 1;
  },
};
