import type { Clock } from "./clock.js";
import type { Logger } from "./logger.js";

/** From how long on a step is told of: a few of these together outlast an election wait. */
const longMs = 80;

/** Warns of steps of work that hold up the event loop for long, by name. */
export class StepTimer {
  private readonly clock: Clock;
  private readonly log: Logger;

  constructor(clock: Clock, log: Logger) {
    this.clock = clock;
    this.log = log;
  }

  /** Does a step of work at once and gives what it makes. */
  run<T>(step: string, work: () => T): T {
    const startedMs = this.clock.nowMs();
    const made = work();
    const tookMs = this.clock.nowMs() - startedMs;
    if (tookMs >= longMs)
      this.log.warn("A step of work held up the event loop.", {
        step,
        tookMs: Math.round(tookMs),
      });
    return made;
  }
}
