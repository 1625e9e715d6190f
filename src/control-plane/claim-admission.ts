/** Load shedding for idempotency claims at the leader. */
import type { Clock } from "../runtime/clock.js";
import type { Task } from "../runtime/task.js";
import { failed, OVERLOADED, type CommandResult } from "../control-protocol/command-response.js";

/**
 * Age of the oldest claim in progress beyond which new claims are refused. The first attempt of a request waits for its claim
 * for a fifth of its route's latency goal, so most claims queued behind an older one would time out before they commit.
 */
const MAX_CLAIM_WAIT_MS = 150;

/**
 * Decides which idempotency claims a leader admits. Claims are most of the leader's commits. A leader that falls behind
 * refuses new claims at once, so that it still processes leases, deregistrations and operators' commands in time.
 */
export class ClaimAdmission {
  private readonly clock: Clock;
  /** The claims in progress with their admission times, oldest first. */
  private readonly inProgress = new Set<{ readonly admittedMs: number }>();
  /** The number of refused claims. */
  refused = 0;

  constructor(clock: Clock) {
    this.clock = clock;
  }

  /** Runs the proposal of a claim, or refuses the claim without proposing it. */
  *admit(proposal: Task<CommandResult>): Task<CommandResult> {
    if (this.oldestWaitMs > MAX_CLAIM_WAIT_MS) {
      this.refused += 1;
      return failed(OVERLOADED);
    }
    const admitted = { admittedMs: this.clock.nowMs() };
    this.inProgress.add(admitted);
    const result = yield* proposal;
    this.inProgress.delete(admitted);
    return result;
  }

  private get oldestWaitMs(): number {
    for (const { admittedMs } of this.inProgress) return this.clock.nowMs() - admittedMs;
    return 0;
  }
}
