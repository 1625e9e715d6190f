import { sleep } from "../../runtime/clock.js";
import type { Task } from "../../runtime/task.js";
import type { SimulatedMachine } from "../simulated-machine.js";
import type { Simulation } from "../simulation.js";
import type { TestBackend } from "../test-backend.js";

/** One of some items, drawn by the simulation's seed. */
export const pick = <T>(simulation: Simulation, items: readonly T[]): T | undefined =>
  items[Math.floor(simulation.random() * items.length)];

/** Waits for a drawn time between two bounds. */
export const sleepBetween = (simulation: Simulation, leastMs: number, mostMs: number): Task =>
  sleep(simulation.clock, leastMs + simulation.random() * (mostMs - leastMs));

/** The machines whose process runs and was not told to stop. */
export const runningMachines = (simulation: Simulation): SimulatedMachine[] =>
  simulation.machines.filter(({ gate, isStopping }) => gate.isAlive && !isStopping);

/** Those of them that have a disk. */
export const diskMachines = (simulation: Simulation): SimulatedMachine[] =>
  runningMachines(simulation).filter(({ disk }) => disk);

/** Those of them that have none. */
export const disklessMachines = (simulation: Simulation): SimulatedMachine[] =>
  runningMachines(simulation).filter(({ disk }) => !disk);

/** The back ends that run and announce themselves. */
export const workingBackends = (simulation: Simulation): TestBackend[] =>
  simulation.testBackends.filter(({ isUp, isAnnouncing }) => isUp && isAnnouncing);

/** The replicated-log members that take themselves for the leader. */
export const leaders = (simulation: Simulation): SimulatedMachine[] =>
  diskMachines(simulation).filter(
    ({ daemon }) => daemon?.replicationNode?.status.role === "leader",
  );

/** Where a machine is, as the network names it. */
export const machineNameOf = ({ settings }: SimulatedMachine): string => settings.machine;

/** Whether any way between two members of the replicated log is cut. */
const areMembersCut = (simulation: Simulation): boolean => {
  const places = diskMachines(simulation).map(machineNameOf);
  return places.some((from) => places.some((to) => simulation.network.isPartitioned(from, to)));
};

/** Whether all machines with a disk are whole members of the log, none is cut off, replaced or emptied, and one leads. */
export const allFormed = (simulation: Simulation): boolean => {
  const whole = diskMachines(simulation);
  return (
    !simulation.isLosingDisk &&
    whole.length === simulation.profile.diskMachines &&
    whole.every(({ daemon }) => daemon?.replicationNode?.status.state === "formed") &&
    leaders(simulation).length > 0 &&
    !areMembersCut(simulation)
  );
};
