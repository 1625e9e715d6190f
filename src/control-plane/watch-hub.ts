/** Watch requests that are buffered until there is an update for them. */
import { type Clock, withTimeout } from "../runtime/clock.js";
import type { Task } from "../runtime/task.js";

/** How long updates are gathered at least before buffered watch requests are released. */
const MIN_RELEASE_DELAY_MS = 5;
/** The pause after a release for each request that it released, so that successive updates take only a part of the leader's time. */
const PAUSE_PER_REQUEST_MS = 0.75;

/** Buffers watch requests and releases them together when something is updated. */
export class WatchHub {
  private readonly clock: Clock;
  private readonly maxWaitMs: number;
  private readonly waiting = new Set<() => void>();
  private isReleasePlanned = false;
  /** Before this time of the clock nothing is released. */
  private nextReleaseMs = -Infinity;

  /** A request is buffered for `maxWaitMs` at most; 0 buffers none. */
  constructor(clock: Clock, maxWaitMs: number) {
    this.clock = clock;
    this.maxWaitMs = maxWaitMs;
  }

  /** Whether requests are buffered at all. */
  get isEnabled(): boolean {
    return this.maxWaitMs > 0;
  }

  /** Waits for the next update, or until the longest wait is over. */
  *nextUpdate(): Task {
    let release = (): void => undefined;
    yield* withTimeout<boolean>(this.clock, this.maxWaitMs, (done) => {
      release = () => done(true);
      this.waiting.add(release);
    });
    this.waiting.delete(release);
  }

  /**
   * Plans the release of the buffered requests. It is delayed a little, so that updates close to each other are sent together:
   * the longer, the more requests the last release had and the more recent it was.
   */
  notify(): void {
    if (this.waiting.size === 0 || this.isReleasePlanned) return;
    this.isReleasePlanned = true;
    const pauseMs = this.nextReleaseMs - this.clock.nowMs();
    this.clock.after(Math.max(MIN_RELEASE_DELAY_MS, pauseMs), () => this.releaseAll());
  }

  private releaseAll(): void {
    this.isReleasePlanned = false;
    this.nextReleaseMs =
      this.clock.nowMs() + Math.min(this.waiting.size * PAUSE_PER_REQUEST_MS, this.maxWaitMs / 2);
    for (const release of [...this.waiting]) release();
  }
}
