import type { Network } from "../runtime/network.js";
import type { Clock } from "../runtime/clock.js";
import type { Disk } from "../runtime/disk.js";
import { createLineLoggers } from "../runtime/logger.js";
import type { Runtime } from "../runtime/runtime.js";

/** The parts of a virtual runtime. Without `disk` it has none, without `writeLine` it logs nothing. */
export interface VirtualRuntimeOptions {
  readonly clock: Clock;
  readonly network: Network;
  readonly random: () => number;
  readonly disk?: Disk | undefined;
  readonly writeLine?: (line: string) => void;
  readonly wallTime?: () => Date;
}

/** Creates a runtime of virtual parts, in which the failure of a task ends the run. */
export const virtualRuntime = ({
  clock,
  network,
  random,
  disk,
  writeLine = () => undefined,
  wallTime = () => new Date(0),
}: VirtualRuntimeOptions): Runtime => ({
  clock,
  network,
  disk,
  loggers: createLineLoggers(writeLine),
  onTaskFailure: (_part, error) => {
    throw error;
  },
  random,
  wallTime,
});
