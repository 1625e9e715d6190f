/** Load shedding for idempotency claims at the leader. */
import type { Clock } from "../runtime/clock.js";
import type { Task } from "../runtime/task.js";
import { failed, OVERLOADED, type CommandResult } from "../control-protocol/command-response.js";

/**
 * For how long the oldest claim in progress may have waited when another one is admitted. The first attempt of a request waits
 * for its claim for a fifth of its route's latency goal, so that claims queued behind an older one would mostly be in vain.
 */
const MAX_CLAIM_WAIT_MS = 150;

/**
 * Decides which idempotency claims a leader admits. Claims are most of what it commits, so where it falls behind, they are
 * refused at once: leases, deregistrations and operators' commands are then still processed in time.
 */
export class ClaimAdmission {
  private readonly clock: Clock;
  /** The claims in progress with the time of their admission, the oldest first. */
  private readonly inProgress = new Set<{ readonly admittedMs: number }>();
  /** How many claims were refused. */
  refused = 0;

  constructor(clock: Clock) {
    this.clock = clock;
  }

  /** Runs the proposal of a claim, or refuses it without running it. */
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
