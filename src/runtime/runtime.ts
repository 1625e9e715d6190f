/** What a daemon needs of the machine that it runs on. */
import type { Network } from "./network.js";
import type { Clock } from "./clock.js";
import type { Disk } from "./disk.js";
import type { LoggerFactory } from "./logger.js";
import { type Task, runTask } from "./task.js";

/** The machine that a daemon runs on: real in a process, virtual and deterministic in the simulator. */
export interface Runtime {
  readonly clock: Clock;
  readonly network: Network;
  readonly disk: Disk | undefined;
  readonly loggers: LoggerFactory;
  /** Called where a task failed with an unexpected error: the daemon has to stop rather than run without it. */
  onTaskFailure(component: string, error: unknown): void;
  /** A number from 0 up to 1. */
  random(): number;
  /** The wall clock, for display; nothing is decided by it. */
  wallTime(): Date;
}

/** Starts a task of a component; if it fails, `onTaskFailure` is called. */
export function startTask<T>(
  runtime: Runtime,
  component: string,
  task: Task<T>,
  onDone?: (value: T) => void,
): void {
  runTask(task, (error) => runtime.onTaskFailure(component, error), onDone);
}

/** A random text that is unique for all practical purposes. */
export function randomNonce(runtime: Runtime): string {
  return Array.from({ length: 3 }, () => Math.floor(runtime.random() * 2 ** 32).toString(36)).join(
    "-",
  );
}
