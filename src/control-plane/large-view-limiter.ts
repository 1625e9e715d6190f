/** Limits how often a large view is sent to a daemon that requests it again before it has arrived. */
import type { WatchRequest } from "../control-protocol/watch-request.js";

interface SentView {
  /** The state of the daemon when it sent the request. */
  readonly daemonState: string;
  readonly sentMs: number;
  /** For how long the view counts as in transit. */
  readonly transitMs: number;
}

/** How often the transit time of a view that didn't arrive is doubled. */
const MAX_DOUBLINGS = 4;

const formatDaemonState = ({ machine, configSequence, directorySequence }: WatchRequest): string =>
  `${machine.incarnation} ${configSequence} ${directorySequence}`;

/**
 * The large views that are in transit to daemons. Over a slow link one may take longer than the timeout of a watch request; the
 * same view isn't sent again to a daemon that retries meanwhile, since each would delay the next, for ever.
 */
export class LargeViewLimiter {
  private readonly sent = new Map<string, SentView>();
  private readonly initialTransitMs: number;

  /** A view that didn't arrive is sent again after `initialTransitMs`, then after twice that, and so on. */
  constructor(initialTransitMs: number) {
    this.initialTransitMs = initialTransitMs;
  }

  /** Whether a view for this state of the daemon was sent a short while ago. */
  isInTransit(request: WatchRequest, nowMs: number): boolean {
    const sent = this.sent.get(request.machine.name);
    return sent?.daemonState === formatDaemonState(request) && nowMs - sent.sentMs < sent.transitMs;
  }

  /** Notes that a large view is sent now. */
  recordSent(request: WatchRequest, nowMs: number): void {
    const daemonState = formatDaemonState(request);
    const former = this.sent.get(request.machine.name);
    const transitMs =
      former?.daemonState === daemonState
        ? Math.min(2 * former.transitMs, this.initialTransitMs * 2 ** MAX_DOUBLINGS)
        : this.initialTransitMs;
    this.sent.set(request.machine.name, { daemonState, sentMs: nowMs, transitMs });
  }

  /** Forgets all views, at the begin of a term. */
  reset(): void {
    this.sent.clear();
  }
}
