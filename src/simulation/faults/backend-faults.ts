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

/** Faults of backends; each ends by itself. */
export const backendFaults: Record<string, FaultScenario> = {
  *crashBackEnd(simulation) {
    const backend = yield* crashBackend(simulation);
    backend?.replace(backend.service);
  },
  *loseAnswers(simulation) {
    const backends = workingBackends(simulation).filter(() => simulation.random() < 0.5);
    for (const backend of backends) backend.setBehavior({ lossFraction: 0.5 });
    yield* sleepBetween(simulation, 2000, 8000);
    for (const backend of backends) backend.setBehavior({});
  },
  *sendGarbage(simulation) {
    const backends = workingBackends(simulation).filter(() => simulation.random() < 0.3);
    for (const backend of backends)
      backend.setBehavior({ garbageFraction: 0.4, truncatedFraction: 0.4 });
    yield* sleepBetween(simulation, 2000, 6000);
    for (const backend of backends) backend.setBehavior({});
  },
  *slowBackEnds(simulation) {
    const backends = workingBackends(simulation).filter(() => simulation.random() < 0.3);
    for (const backend of backends)
      backend.setBehavior({ slowFactor: 30 + simulation.random() * 300 });
    yield* sleepBetween(simulation, 2000, 8000);
    for (const backend of backends) backend.setBehavior({});
  },
  *replaceBackEnds(simulation) {
    for (const backend of workingBackends(simulation).filter(() => simulation.random() < 0.2)) {
      if (yield* simulation.workload.deregister(backend))
        yield* sleepBetween(simulation, 2600, 3200);
      backend.stop();
      yield* sleepBetween(simulation, 200, 900);
      backend.replace(backend.service);
    }
  },
  /** A backend deregisters while the leader restarts. */
  *leaveDuringLeaderChange(simulation) {
    const backend = pick(simulation, workingBackends(simulation));
    const [leader] = leaders(simulation);
    if (!backend || !leader) return;
    simulation.start(reboot(simulation, [leader]));
    yield* simulation.workload.deregister(backend);
    yield* sleepBetween(simulation, 4000, 5000);
    backend.replace(backend.service);
  },
  *reuseAddress(simulation) {
    const backend = yield* crashBackend(simulation);
    if (!backend) return;
    const services = Object.keys(simulation.profile.backends).filter(
      (service) => service !== backend.service,
    );
    const hasFewBackends =
      workingBackends(simulation).filter(({ service }) => service === backend.service).length < 5;
    const service = hasFewBackends
      ? backend.service
      : (pick(simulation, services) ?? backend.service);
    backend.replace(service);
    simulation.recorder.environmentRecords.push({
      kind: "reused",
      atMs: simulation.virtualClock.nowMs(),
      address: backend.address,
      service,
    });
  },
  *reuseManyAddresses(simulation) {
    const services = Object.keys(simulation.profile.backends);
    const backends = workingBackends(simulation).filter(() => simulation.random() < 0.35);
    if (simulation.random() < 0.5) simulation.start(reboot(simulation, leaders(simulation)));
    else
      simulation.start(
        partition(
          simulation,
          pickDirections(
            simulation,
            linksBetween(
              disklessMachines(simulation).slice(0, 3).map(machineNameOf),
              backends.map(({ address }) => address),
            ),
          ),
          300,
          3000,
        ),
      );
    const previousServices = backends.map(({ service }) => service);
    for (const backend of backends) {
      backend.stop();
      simulation.start(
        reassignAddress(
          simulation,
          backend,
          services.filter((service) => service !== backend.service),
        ),
      );
    }
    yield* sleepBetween(simulation, 6000, 8000);
    for (const [index, backend] of backends.entries())
      backend.replace(previousServices[index] ?? backend.service);
  },
  /** All backends of a service stop, with or without deregistration. */
  *emptyService(simulation) {
    const service = pick(simulation, Object.keys(simulation.profile.backends));
    const backends = workingBackends(simulation).filter((backend) => backend.service === service);
    const deregisters = simulation.random() < 0.5;
    if (deregisters) {
      for (const backend of backends) simulation.start(simulation.workload.deregister(backend));
      yield* sleepBetween(simulation, 2600, 3200);
    }
    for (const backend of backends) backend.stop();
    yield* sleepBetween(simulation, 500, 6000);
    for (const backend of backends) backend.replace(backend.service);
  },
  *crashMostBackEnds(simulation) {
    const backends = workingBackends(simulation).filter(() => simulation.random() < 0.75);
    for (const backend of backends) backend.stop();
    yield* sleepBetween(simulation, 500, 5000);
    for (const backend of backends) backend.replace(backend.service);
  },
  *breakDownService(simulation) {
    const service = pick(simulation, Object.keys(simulation.profile.backends));
    const backends = workingBackends(simulation).filter((backend) => backend.service === service);
    const behavior =
      pick(simulation, [
        { lossFraction: 1 },
        { garbageFraction: 1 },
        { truncatedFraction: 1 },
        { lossFraction: 0.7, garbageFraction: 0.5 },
      ]) ?? {};
    for (const backend of backends) backend.setBehavior(behavior);
    if (simulation.random() < 0.5) {
      yield* sleepBetween(simulation, 300, 2000);
      yield* reboot(simulation, leaders(simulation));
    }
    yield* sleepBetween(simulation, 2000, 8000);
    for (const backend of backends) backend.setBehavior({});
  },
  /** Edges restart repeatedly while 60% of the backends' responses are lost. */
  *restartEdgesInBreakdown(simulation) {
    const backends = workingBackends(simulation);
    for (const backend of backends) backend.setBehavior({ lossFraction: 0.6 });
    const edges = disklessMachines(simulation).slice(0, 3);
    for (let round = 0; round < 4; round += 1) {
      for (const edge of edges) simulation.kill(edge);
      yield* sleepBetween(simulation, 50, 400);
      for (const edge of edges) simulation.boot(edge);
      yield* sleepBetween(simulation, 600, 2500);
    }
    for (const backend of backends) backend.setBehavior({});
  },
  /** Client traffic triples, the backends fail, and then all clients stop. */
  *stopCallersAfterPeak(simulation) {
    simulation.workload.clientFactor = 3;
    yield* sleepBetween(simulation, 2000, 3000);
    const backends = workingBackends(simulation);
    for (const backend of backends) backend.setBehavior({ lossFraction: 0.9, slowFactor: 20 });
    yield* sleepBetween(simulation, 100, 1500);
    simulation.workload.clientFactor = 0;
    yield* sleepBetween(simulation, 3000, 6000);
    for (const backend of backends) backend.setBehavior({});
    simulation.workload.clientFactor = 1;
  },
};
