import type { Network } from "./network.js";
import type { Clock } from "./clock.js";
import type { Disk } from "./disk.js";
import type { LoggerFactory } from "./logger.js";
import { Task } from "./task.js";

/** The machine that a daemon runs on: real in a process, virtual and seeded in the simulator. */
export interface Runtime {
  readonly clock: Clock;
  readonly network: Network;
  readonly disk: Disk | undefined;
  readonly loggers: LoggerFactory;
  /** Hears that a task broke off on what nobody foresaw: the daemon must not go on half alive. */
  onTaskFailure(part: string, error: unknown): void;
  /** A number from 0 up to 1. */
  random(): number;
  /** The wall clock, for people to read; nothing is decided by it. */
  wallTime(): Date;
}

export const Runtime = {
  /** Starts a task of a part; should it break off, the daemon ends rather than go on without it. */
  start<T>(runtime: Runtime, part: string, task: Task<T>, ended?: (value: T) => void): void {
    Task.start(task, (error) => runtime.onTaskFailure(part, error), ended);
  },

  /** A word no other draw gives again. */
  nonce(runtime: Runtime): string {
    return Array.from({ length: 3 }, () =>
      Math.floor(runtime.random() * 2 ** 32).toString(36),
    ).join("-");
  },
};
