import { CLIENTS_LOCATION } from "../client-call.js";
import { degradeNetwork, partition, isolate, pickDirections, linksBetween } from "./partitions.js";
import {
  runningMachines,
  diskMachines,
  leaders,
  pick,
  machineNameOf,
  sleepBetween,
  disklessMachines,
  workingBackends,
} from "./targets.js";
import type { FaultScenario } from "./fault.js";

/** Faults of the network; each ends by itself. */
export const networkFaults: Record<string, FaultScenario> = {
  *cutOffLeader(simulation) {
    yield* isolate(simulation, leaders(simulation), false);
  },
  *cutOffLeaderOneWay(simulation) {
    yield* isolate(simulation, leaders(simulation), true);
  },
  *cutOffMachine(simulation) {
    const machine = pick(simulation, runningMachines(simulation));
    if (machine) yield* isolate(simulation, [machine], simulation.random() < 0.4);
  },
  /** The leader is partitioned from the other members, while edges can still reach it. */
  *cutLeaderFromCore(simulation) {
    const [leader] = leaders(simulation);
    if (!leader) return;
    simulation.start(
      partition(
        simulation,
        linksBetween([machineNameOf(leader)], diskMachines(simulation).map(machineNameOf)),
        4000,
        6000,
      ),
    );
    yield* sleepBetween(simulation, 700, 1200);
    simulation.start(simulation.workload.putConfig());
    yield* sleepBetween(simulation, 3300, 5300);
  },
  /** Partitions every link between members. */
  *splitCore(simulation) {
    const members = diskMachines(simulation).map(machineNameOf);
    yield* partition(simulation, linksBetween(members, members, true), 500, 6000);
  },
  *loseZone(simulation) {
    const zone = pick(simulation, simulation.profile.zones);
    yield* isolate(
      simulation,
      simulation.machines.filter(({ settings }) => settings.zone === zone),
      false,
    );
  },
  *cutFromBackEnds(simulation) {
    const machines = disklessMachines(simulation).slice(0, 1 + Math.floor(simulation.random() * 4));
    const backendFraction = simulation.random() < 0.3 ? 1 : simulation.random();
    const addresses = simulation.testBackends
      .filter(() => simulation.random() < backendFraction)
      .map(({ address }) => address);
    yield* partition(
      simulation,
      pickDirections(simulation, linksBetween(machines.map(machineNameOf), addresses)),
      300,
      5000,
    );
  },
  *cutFromCallers(simulation) {
    const machines = disklessMachines(simulation).filter(() => simulation.random() < 0.3);
    yield* partition(
      simulation,
      pickDirections(simulation, linksBetween(machines.map(machineNameOf), [CLIENTS_LOCATION])),
      300,
      5000,
    );
  },
  *cutBackEndsOff(simulation) {
    const backends = workingBackends(simulation).filter(() => simulation.random() < 0.3);
    yield* partition(
      simulation,
      pickDirections(
        simulation,
        linksBetween(
          simulation.machines.map(machineNameOf),
          backends.map(({ address }) => address),
        ),
      ),
      500,
      6000,
    );
  },
  *slowNetwork(simulation) {
    yield* degradeNetwork(simulation, { maxExtraLatencyMs: 10 + simulation.random() * 120 });
  },
  *slowConnects(simulation) {
    yield* degradeNetwork(simulation, { maxExtraConnectMs: 300 + simulation.random() * 1500 });
  },
  *lossySeconds(simulation) {
    yield* degradeNetwork(simulation, { lossFraction: 0.02 + simulation.random() * 0.25 });
  },
};
