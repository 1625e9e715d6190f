import type { Wire } from "../runtime/network.js";
import type { Clock } from "../runtime/clock.js";
import type { Disk } from "../runtime/disk.js";
import { Logbook } from "../runtime/logger.js";
import type { World } from "../runtime/runtime.js";

/** What a virtual world is made of; what isn't named is absent or silent. */
export interface VirtualParts {
  readonly clock: Clock;
  readonly wire: Wire;
  readonly random: () => number;
  readonly disk?: Disk | undefined;
  readonly lines?: (line: string) => void;
  readonly wallTime?: () => Date;
}

/** A world on virtual parts, in which a task that breaks off ends the run. */
export const virtualWorld = ({
  clock,
  wire,
  random,
  disk,
  lines = () => undefined,
  wallTime = () => new Date(0),
}: VirtualParts): World => ({
  clock,
  wire,
  disk,
  logbook: Logbook.into(lines),
  broken: (_part, error) => {
    throw error;
  },
  random,
  wallTime,
});
