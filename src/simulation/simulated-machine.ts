/** One machine of a simulated fleet. */
import type { Daemon } from "../daemon/daemon.js";
import type { Settings } from "../daemon/settings.js";
import type { EventGate } from "./event-gate.js";
import type { VirtualDisk } from "./virtual-disk.js";

/** A machine with its settings and disk, and the daemon that runs on it, if any. */
export interface SimulatedMachine {
  readonly settings: Settings;
  readonly disk: VirtualDisk | undefined;
  /** The offset of its clock from the simulation's, in ms. */
  readonly clockOffsetMs: number;
  /** The rate of its clock in relation to the simulation's. */
  readonly clockRate: number;
  /** The offset that a fault adds to its wall clock, in ms. */
  wallClockJumpMs: number;
  /** The gate of the running process, which drops its events once it is killed. */
  gate: EventGate;
  daemon: Daemon | undefined;
  isStopping: boolean;
  /** Whether it was removed for good and never starts again. */
  isRemoved: boolean;
  /** Whether a fault has emptied its disk. It then joins the existing log and never bootstraps one. */
  hasLostDisk: boolean;
  /** Listeners for the end of the process, which breaks every connection to it. */
  readonly exitListeners: Set<() => void>;
}
