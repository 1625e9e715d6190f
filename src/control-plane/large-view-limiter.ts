/** Limits how often a large view is sent to a daemon that requests it again while it is in transit. */
import type { WatchRequest } from "../control-protocol/watch-request.js";

interface SentView {
  /** The daemon's incarnation and sequences in its request. */
  readonly daemonState: string;
  readonly sentMs: number;
  /** Time for which the view counts as in transit. */
  readonly transitMs: number;
}

/** Maximum number of doublings of a view's transit time. */
const MAX_DOUBLINGS = 4;

const formatDaemonState = ({ machine, configSequence, directorySequence }: WatchRequest): string =>
  `${machine.incarnation} ${configSequence} ${directorySequence}`;

/**
 * The large views in transit to daemons. Over a slow link a view may take longer than the timeout of a watch request. A daemon
 * that retries meanwhile doesn't get the same view again: each copy would delay the next one, and none would arrive in time.
 */
export class LargeViewLimiter {
  private readonly sent = new Map<string, SentView>();
  private readonly initialTransitMs: number;

  /** A view that didn't arrive is sent again after `initialTransitMs`; the interval doubles with each resend. */
  constructor(initialTransitMs: number) {
    this.initialTransitMs = initialTransitMs;
  }

  /** Whether a view for this state of the daemon is still in transit. */
  isInTransit(request: WatchRequest, nowMs: number): boolean {
    const sent = this.sent.get(request.machine.name);
    return sent?.daemonState === formatDaemonState(request) && nowMs - sent.sentMs < sent.transitMs;
  }

  /** Records that a large view is sent now. */
  recordSent(request: WatchRequest, nowMs: number): void {
    const daemonState = formatDaemonState(request);
    const previous = this.sent.get(request.machine.name);
    const transitMs =
      previous?.daemonState === daemonState
        ? Math.min(2 * previous.transitMs, this.initialTransitMs * 2 ** MAX_DOUBLINGS)
        : this.initialTransitMs;
    this.sent.set(request.machine.name, { daemonState, sentMs: nowMs, transitMs });
  }

  /** Clears all views at the start of a term. */
  reset(): void {
    this.sent.clear();
  }
}
