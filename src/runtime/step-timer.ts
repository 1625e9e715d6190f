/** Detection of work that blocks the event loop. */
import type { Clock } from "./clock.js";
import type { Logger } from "./logger.js";

/** Minimum duration of a reported step; a few of these in a row exceed an election timeout. */
const LONG_STEP_MS = 80;

/** Logs steps of work that block the event loop for a long time, by name. */
export class StepTimer {
  private readonly clock: Clock;
  private readonly log: Logger;

  constructor(clock: Clock, log: Logger) {
    this.clock = clock;
    this.log = log;
  }

  /** Runs a step of work and returns its result. */
  run<T>(step: string, work: () => T): T {
    const startedMs = this.clock.nowMs();
    const result = work();
    const tookMs = this.clock.nowMs() - startedMs;
    if (tookMs >= LONG_STEP_MS)
      this.log.warn("event loop blocked", {
        step,
        tookMs: Math.round(tookMs),
      });
    return result;
  }
}
