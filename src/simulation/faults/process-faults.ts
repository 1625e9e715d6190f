import { reboot } from "./restarts.js";
import {
  runningMachines,
  diskMachines,
  leaders,
  pick,
  sleepBetween,
  disklessMachines,
  workingBackends,
} from "./targets.js";
import type { FaultScenario } from "./fault.js";

/** Faults of processes and machines; each ends by itself. */
export const processFaults: Record<string, FaultScenario> = {
  *killEdge(simulation) {
    yield* reboot(
      simulation,
      disklessMachines(simulation).slice(0, 1 + Math.floor(simulation.random() * 3)),
    );
  },
  *killManyAtOnce(simulation) {
    yield* reboot(
      simulation,
      runningMachines(simulation).filter(() => simulation.random() < 0.4),
    );
  },
  /** Restarts a member of the replicated log. */
  *killRecorder(simulation) {
    const member = pick(simulation, diskMachines(simulation));
    if (member) yield* reboot(simulation, [member], simulation.random() < 0.5);
  },
  *killLeader(simulation) {
    yield* reboot(simulation, leaders(simulation), simulation.random() < 0.5);
  },
  *allRecordersLosePower(simulation) {
    yield* reboot(simulation, diskMachines(simulation), true);
  },
  *freeze(simulation) {
    const machine = pick(simulation, [...leaders(simulation), ...runningMachines(simulation)]);
    if (!machine) return;
    const { gate } = machine;
    gate.freeze();
    yield* sleepBetween(simulation, 500, 5000);
    gate.thaw();
  },
  /** Rolling restart of about 40% of the machines. */
  *rollMachines(simulation) {
    for (const machine of runningMachines(simulation).filter(() => simulation.random() < 0.4)) {
      yield* simulation.stop(machine);
      yield* sleepBetween(simulation, 100, 500);
      simulation.boot(machine);
      yield* sleepBetween(simulation, 800, 1500);
    }
  },
  /** Rolling restart of the whole fleet. */
  *rollFleet(simulation) {
    for (const machine of [...disklessMachines(simulation), ...diskMachines(simulation)]) {
      yield* simulation.stop(machine);
      yield* sleepBetween(simulation, 50, 200);
      simulation.boot(machine);
      yield* sleepBetween(simulation, 500, 900);
    }
  },
  /** The leader loses power within 12 ms after a config change was submitted. */
  *acceptAsLeaderDies(simulation) {
    simulation.start(simulation.workload.putConfig());
    yield* sleepBetween(simulation, 0, 12);
    yield* reboot(simulation, leaders(simulation), true);
  },
  *killAll(simulation) {
    yield* reboot(simulation, runningMachines(simulation), simulation.random() < 0.5);
  },
  *loseZoneWithLeader(simulation) {
    const zone = leaders(simulation)[0]?.settings.zone;
    const backends = workingBackends(simulation).filter((backend) => backend.zone === zone);
    for (const backend of backends) backend.stop();
    yield* reboot(
      simulation,
      runningMachines(simulation).filter(({ settings }) => settings.zone === zone),
      true,
    );
    for (const backend of backends) backend.replace(backend.service);
  },
  *jumpWallClocks(simulation) {
    for (const machine of simulation.machines)
      machine.wallClockJumpMs = (simulation.random() - 0.5) * 2e9;
    yield* simulation.workload.putConfig();
    yield* sleepBetween(simulation, 500, 2000);
    for (const machine of simulation.machines) machine.wallClockJumpMs = 0;
  },
};
