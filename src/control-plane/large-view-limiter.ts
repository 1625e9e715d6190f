import type { WatchRequest } from "../control-protocol/watch-request.js";

interface SentView {
  /** What the daemon knew when it asked. */
  readonly known: string;
  readonly sentMs: number;
  /** For how long it counts as under way. */
  readonly waitMs: number;
}

/** How often the wait for a view that didn't arrive is doubled at most. */
const mostDoublings = 4;

const knownOf = ({ machine, configSequence, directorySequence }: WatchRequest): string =>
  `${machine.incarnation} ${configSequence} ${directorySequence}`;

/**
 * The large views that are under way to daemons. Over a thin link one may take longer than a poll is waited for; the same view
 * isn't sent again to whoever asks again meanwhile, since each would hold up the next, for ever.
 */
export class LargeViewLimiter {
  private readonly sent = new Map<string, SentView>();
  private readonly firstWaitMs: number;

  /** After `firstWaitMs` a view that wasn't taken is sent again, then after twice that, and so on. */
  constructor(firstWaitMs: number) {
    this.firstWaitMs = firstWaitMs;
  }

  /** Whether a view for what this daemon knows was sent a short while ago. */
  isUnderWay(watchRequest: WatchRequest, nowMs: number): boolean {
    const sent = this.sent.get(watchRequest.machine.name);
    return sent?.known === knownOf(watchRequest) && nowMs - sent.sentMs < sent.waitMs;
  }

  /** Notes that a large view is sent now. */
  note(watchRequest: WatchRequest, nowMs: number): void {
    const known = knownOf(watchRequest);
    const former = this.sent.get(watchRequest.machine.name);
    const waitMs =
      former?.known === known
        ? Math.min(2 * former.waitMs, this.firstWaitMs * 2 ** mostDoublings)
        : this.firstWaitMs;
    this.sent.set(watchRequest.machine.name, { known, sentMs: nowMs, waitMs });
  }

  /** Forgets all, as one that leads anew. */
  reset(): void {
    this.sent.clear();
  }
}
