/** One machine of a simulated fleet. */
import type { Daemon } from "../daemon/daemon.js";
import type { Settings } from "../daemon/settings.js";
import type { EventGate } from "./event-gate.js";
import type { VirtualDisk } from "./virtual-disk.js";

/** A machine with its settings and disk, and the daemon that runs on it, if any. */
export interface SimulatedMachine {
  readonly settings: Settings;
  readonly disk: VirtualDisk | undefined;
  /** The offset of its clock from the simulation's. */
  readonly clockOffsetMs: number;
  /** The rate of its clock. */
  readonly clockRate: number;
  /** How far its wall clock has jumped. */
  wallClockJumpMs: number;
  /** Passes the events of the running process; it is closed when the process ends. */
  gate: EventGate;
  daemon: Daemon | undefined;
  isStopping: boolean;
  /** Whether it was removed for good and never starts again. */
  isRemoved: boolean;
  /** Whether its disk was lost once, after which it never forms a log. */
  hasLostDisk: boolean;
  /** Listeners for the end of the process, which breaks every connection to it. */
  readonly exitListeners: Set<() => void>;
}
