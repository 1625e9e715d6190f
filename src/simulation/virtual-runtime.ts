import type { Network } from "../runtime/network.js";
import type { Clock } from "../runtime/clock.js";
import type { Disk } from "../runtime/disk.js";
import { lineLoggers } from "../runtime/logger.js";
import type { Runtime } from "../runtime/runtime.js";

/** What a virtual world is made of; what isn't named is absent or silent. */
export interface VirtualRuntimeOptions {
  readonly clock: Clock;
  readonly network: Network;
  readonly random: () => number;
  readonly disk?: Disk | undefined;
  readonly writeLine?: (line: string) => void;
  readonly wallTime?: () => Date;
}

/** A world on virtual parts, in which a task that breaks off ends the run. */
export const virtualRuntime = ({
  clock,
  network,
  random,
  disk,
  writeLine: lines = () => undefined,
  wallTime = () => new Date(0),
}: VirtualRuntimeOptions): Runtime => ({
  clock,
  network,
  disk,
  loggers: lineLoggers(lines),
  onTaskFailure: (_part, error) => {
    throw error;
  },
  random,
  wallTime,
});
