import { sleep } from "../../runtime/clock.js";
import type { Task } from "../../runtime/task.js";
import type { SimulatedMachine } from "../simulated-machine.js";
import type { Simulation } from "../simulation.js";
import type { TestBackend } from "../test-backend.js";

/** Picks a random item; undefined if there is none. */
export const pick = <T>(simulation: Simulation, items: readonly T[]): T | undefined =>
  items[Math.floor(simulation.random() * items.length)];

/** Sleeps for a random time between two bounds. */
export const sleepBetween = (simulation: Simulation, minMs: number, maxMs: number): Task =>
  sleep(simulation.clock, minMs + simulation.random() * (maxMs - minMs));

/** The machines whose process runs and is not stopping. */
export const runningMachines = (simulation: Simulation): SimulatedMachine[] =>
  simulation.machines.filter(({ gate, isStopping }) => gate.isAlive && !isStopping);

/** The running machines that have a disk. */
export const diskMachines = (simulation: Simulation): SimulatedMachine[] =>
  runningMachines(simulation).filter(({ disk }) => disk);

/** The running machines that have no disk. */
export const disklessMachines = (simulation: Simulation): SimulatedMachine[] =>
  runningMachines(simulation).filter(({ disk }) => !disk);

/** The backends that run and send heartbeats. */
export const workingBackends = (simulation: Simulation): TestBackend[] =>
  simulation.testBackends.filter(({ isUp, isAnnouncing }) => isUp && isAnnouncing);

/** The members of the replicated log that are leaders in their own view. */
export const leaders = (simulation: Simulation): SimulatedMachine[] =>
  diskMachines(simulation).filter(
    ({ daemon }) => daemon?.replicationNode?.status.role === "leader",
  );

/** The machine's name, which is also its location on the virtual network. */
export const machineNameOf = ({ settings }: SimulatedMachine): string => settings.machine;

/** Whether any link between two members of the replicated log is partitioned. */
const areMembersPartitioned = (simulation: Simulation): boolean => {
  const locations = diskMachines(simulation).map(machineNameOf);
  return locations.some((from) =>
    locations.some((to) => simulation.network.isPartitioned(from, to)),
  );
};

/** Whether all machines with a disk are formed members, none is partitioned, replaced or losing its disk, and one leads. */
export const allFormed = (simulation: Simulation): boolean => {
  const members = diskMachines(simulation);
  return (
    !simulation.isLosingDisk &&
    members.length === simulation.profile.diskMachines &&
    members.every(({ daemon }) => daemon?.replicationNode?.status.state === "formed") &&
    leaders(simulation).length > 0 &&
    !areMembersPartitioned(simulation)
  );
};
