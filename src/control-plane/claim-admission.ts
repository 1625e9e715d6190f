import type { Clock } from "../runtime/clock.js";
import type { Task } from "../runtime/task.js";
import { overloadedResponse } from "../control-protocol/command.js";

/**
 * For how long the oldest claim in progress may have waited when another one is taken. A first try waits for its claim for a
 * fifth of its route's goal, so that claims behind an older one would mostly be in vain.
 */
const mostWaitMs = 150;

/**
 * Decides which claims of keys a leader takes. Claims are by far the most of what it commits, so where it falls behind, they are
 * refused at once: leases, leaves and orders of operators then still find it able to answer.
 */
export class ClaimAdmission {
  private readonly clock: Clock;
  /** When each claim in progress was taken, the oldest first. */
  private readonly startedMs = new Set<{ readonly atMs: number }>();
  /** How many claims were refused. */
  refused = 0;

  constructor(clock: Clock) {
    this.clock = clock;
  }

  /** Carries a claim out, or refuses it. */
  *admit(claim: Task<string>): Task<string> {
    if (this.oldestWaitMs > mostWaitMs) {
      this.refused += 1;
      return overloadedResponse;
    }
    const started = { atMs: this.clock.nowMs() };
    this.startedMs.add(started);
    const outcome = yield* claim;
    this.startedMs.delete(started);
    return outcome;
  }

  private get oldestWaitMs(): number {
    for (const { atMs } of this.startedMs) return this.clock.nowMs() - atMs;
    return 0;
  }
}
