/** The buffer of watch requests for which there is no update yet. */
import { type Clock, withTimeout } from "../runtime/clock.js";
import type { Task } from "../runtime/task.js";

/** Minimum delay between an update and the release of the buffered requests, during which further updates are batched. */
const MIN_RELEASE_DELAY_MS = 5;
/** Pause after a release, per released request, so that successive updates take only a part of the leader's CPU time. */
const PAUSE_PER_REQUEST_MS = 0.75;

/** Buffers watch requests and releases them together when something is updated. */
export class WatchHub {
  private readonly clock: Clock;
  private readonly maxWaitMs: number;
  private readonly bufferedRequests = new Set<() => void>();
  private isReleaseScheduled = false;
  /** The earliest time of the next release, by the clock. */
  private nextReleaseMs = -Infinity;

  /** Buffers a request for `maxWaitMs` at most; 0 disables buffering. */
  constructor(clock: Clock, maxWaitMs: number) {
    this.clock = clock;
    this.maxWaitMs = maxWaitMs;
  }

  /** Whether requests are buffered. */
  get isEnabled(): boolean {
    return this.maxWaitMs > 0;
  }

  /** Waits for the next update, or until the maximum wait is over. */
  *nextUpdate(): Task {
    let release = (): void => undefined;
    yield* withTimeout<boolean>(this.clock, this.maxWaitMs, (done) => {
      release = () => done(true);
      this.bufferedRequests.add(release);
    });
    this.bufferedRequests.delete(release);
  }

  /**
   * Schedules the release of the buffered requests. The delay batches updates that are close together; it is longer after a
   * recent release of many requests.
   */
  notify(): void {
    if (this.bufferedRequests.size === 0 || this.isReleaseScheduled) return;
    this.isReleaseScheduled = true;
    const pauseMs = this.nextReleaseMs - this.clock.nowMs();
    this.clock.after(Math.max(MIN_RELEASE_DELAY_MS, pauseMs), () => this.releaseAll());
  }

  private releaseAll(): void {
    this.isReleaseScheduled = false;
    this.nextReleaseMs =
      this.clock.nowMs() +
      Math.min(this.bufferedRequests.size * PAUSE_PER_REQUEST_MS, this.maxWaitMs / 2);
    for (const release of [...this.bufferedRequests]) release();
  }
}
