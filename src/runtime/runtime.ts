/** Interface between a daemon and the machine on which it runs. */
import type { Network } from "./network.js";
import type { Clock } from "./clock.js";
import type { Disk } from "./disk.js";
import type { LoggerFactory } from "./logger.js";
import { type Task, runTask } from "./task.js";

/** The machine on which a daemon runs: real in a process, virtual and deterministic in the simulator. */
export interface Runtime {
  readonly clock: Clock;
  readonly network: Network;
  readonly disk: Disk | undefined;
  readonly loggers: LoggerFactory;
  /** Called when a task of a component fails with an unexpected error; the daemon has to stop rather than run without the task. */
  onTaskFailure(component: string, error: unknown): void;
  /** A random number in [0, 1). */
  random(): number;
  /** The wall clock time, for display only; no decision depends on it. */
  wallTime(): Date;
}

/** Starts a task of a component; calls `onTaskFailure` if it fails. */
export function startTask<T>(
  runtime: Runtime,
  component: string,
  task: Task<T>,
  onDone?: (value: T) => void,
): void {
  runTask(task, (error) => runtime.onTaskFailure(component, error), onDone);
}

/** A random string that is unique for all practical purposes. */
export function randomNonce(runtime: Runtime): string {
  return Array.from({ length: 3 }, () => Math.floor(runtime.random() * 2 ** 32).toString(36)).join(
    "-",
  );
}
