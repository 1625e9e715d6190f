/** One daemon's statistics of one backend, and the weight derived from them. */
import type { AttemptSample } from "./attempt-sample.js";

/** The weight of the newest sample in the moving averages. */
const LATENCY_SMOOTHING = 0.2;
const FAILURE_SMOOTHING = 0.1;
const INITIAL_LATENCY_MS = 20;
const MIN_WEIGHT = 0.1;
const WEIGHT_STEP = { down: 0.85, up: 1.05 };
const WEIGHT_INTERVAL_MS = 500;
/** A backend whose failure rate is above this misses its target, like one with a high latency. */
const MAX_FAILURE_RATE = 0.2;
/** Number of consecutive failures from which a backend is avoided. */
const MIN_CONSECUTIVE_FAILURES = 2;
/**
 * How long a backend is avoided after consecutive failures: the time doubles with each, up to a limit, and is jittered.
 */
const AVOIDANCE = { initialMs: 250, maxDoublings: 6, maxMs: 5000, jitter: 0.5 };

/** Moving averages and counters of one backend. */
export class BackendStats {
  /** Moving average of the latency of attempts. */
  latencyMs = INITIAL_LATENCY_MS;
  /**
   * Moving average of the ratio of an attempt's latency to the mean latency of its route; 1 if the backend is as fast as
   * others.
   */
  relativeLatency = 1;
  /** Moving average of the fraction of failed attempts, 0 to 1. */
  failureRate = 0;
  /** Fraction of its fair share of requests that it gets, 0.1 to 1. */
  weight = 1;
  /** Why its weight was last changed; empty if it never was. */
  weightReason = "";
  inFlight = 0;
  attempts = 0;
  consecutiveFailures = 0;
  avoidUntilMs = 0;
  /** When this daemon first knew of it. */
  readonly knownSinceMs: number;
  /** Since when attempts are in flight and none has ended. */
  private noProgressSinceMs = 0;
  /** How long it may make no progress and still count as responsive. */
  private toleranceMs = 0;
  private weightChangedMs: number;

  constructor(nowMs: number) {
    this.knownSinceMs = nowMs;
    this.weightChangedMs = nowMs;
  }

  /** Whether it is responsive and not avoided after failures. */
  isHealthy(nowMs: number): boolean {
    const isResponsive = this.inFlight === 0 || nowMs - this.noProgressSinceMs <= this.toleranceMs;
    return this.avoidUntilMs <= nowMs && isResponsive;
  }

  /** Counts an attempt that starts, after which the backend may make no progress for `toleranceMs`. */
  start(toleranceMs: number, nowMs: number): void {
    this.toleranceMs = this.inFlight === 0 ? toleranceMs : Math.max(this.toleranceMs, toleranceMs);
    if (this.inFlight === 0) this.noProgressSinceMs = nowMs;
    this.inFlight += 1;
    this.attempts += 1;
  }

  /** Counts an attempt that was cancelled. */
  cancel(): void {
    this.inFlight = Math.max(0, this.inFlight - 1);
  }

  /** Counts an attempt that ended. */
  end(nowMs: number): void {
    this.inFlight = Math.max(0, this.inFlight - 1);
    this.noProgressSinceMs = nowMs;
  }

  /**
   * Adds an attempt to the statistics; `expectedLatencyMs` is the mean latency of its route, `random` returns 0 up to 1.
   */
  recordSample(
    { latencyMs, isComplete }: AttemptSample,
    expectedLatencyMs: number,
    nowMs: number,
    random: () => number,
  ): void {
    this.relativeLatency +=
      (latencyMs / Math.max(1, expectedLatencyMs) - this.relativeLatency) * LATENCY_SMOOTHING;
    this.latencyMs += (latencyMs - this.latencyMs) * LATENCY_SMOOTHING;
    this.failureRate += ((isComplete ? 0 : 1) - this.failureRate) * FAILURE_SMOOTHING;
    this.consecutiveFailures = isComplete ? 0 : this.consecutiveFailures + 1;
    if (this.consecutiveFailures < MIN_CONSECUTIVE_FAILURES) return;
    const doublings = Math.min(this.consecutiveFailures, AVOIDANCE.maxDoublings);
    const avoidMs = Math.min(AVOIDANCE.maxMs, AVOIDANCE.initialMs * 2 ** doublings);
    this.avoidUntilMs = nowMs + avoidMs * (1 - AVOIDANCE.jitter / 2 + random() * AVOIDANCE.jitter);
  }

  /** Adjusts the weight by the latency target and the failure rate, at most once in `WEIGHT_INTERVAL_MS`. */
  adjustWeight(latencyTargetMs: number, nowMs: number): void {
    if (nowMs - this.weightChangedMs < WEIGHT_INTERVAL_MS) return;
    this.weightChangedMs = nowMs;
    const isSlow = this.latencyMs > latencyTargetMs;
    const missesTarget = isSlow || this.failureRate > MAX_FAILURE_RATE;
    const step = missesTarget ? WEIGHT_STEP.down : WEIGHT_STEP.up;
    const weight = Math.min(1, Math.max(MIN_WEIGHT, this.weight * step));
    if (weight === this.weight) return;
    this.weight = weight;
    if (!missesTarget) this.weightReason = "meets its goal again";
    else if (isSlow)
      this.weightReason = `slower (${Math.round(this.latencyMs)} ms) than the goal of ${latencyTargetMs} ms`;
    else this.weightReason = `${Math.round(this.failureRate * 100)}% of its attempts fail`;
  }
}
