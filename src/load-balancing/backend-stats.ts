/** What one daemon has measured of one backend, and the weight that follows from it. */
import type { AttemptSample } from "./attempt-sample.js";

/** How much the newest sample counts in the moving means. */
const LATENCY_SMOOTHING = 0.2;
const FAILURE_SMOOTHING = 0.1;
const INITIAL_LATENCY_MS = 20;
const MIN_WEIGHT = 0.1;
const WEIGHT_STEP = { down: 0.85, up: 1.05 };
const WEIGHT_INTERVAL_MS = 500;
/** A backend misses its latency target also where more than this part of its attempts fail. */
const MAX_FAILURE_RATE = 0.2;
/** From how many failures in a row on a backend is avoided. */
const MIN_CONSECUTIVE_FAILURES = 2;
/** How long a backend is avoided after failures in a row: doubled with each, up to a limit, and spread at random. */
const AVOIDANCE = { initialMs: 250, maxDoublings: 6, maxMs: 5000, jitter: 0.5 };

/** Moving statistics of one backend. */
export class BackendStats {
  /** Moving mean of how long attempts took. */
  latencyMs = INITIAL_LATENCY_MS;
  /** Moving mean of how long attempts took compared with others on their routes; 1 where it is as fast as these. */
  relativeLatency = 1;
  /** 0 to 1, a moving mean over attempts. */
  failureRate = 0;
  /** Part of its fair share of requests that it gets, 0.1 to 1. */
  weight = 1;
  /** Why its weight was last changed; empty where it never was. */
  weightReason = "";
  inFlight = 0;
  attempts = 0;
  consecutiveFailures = 0;
  avoidUntilMs = 0;
  /** When this daemon learned of it. */
  readonly knownSinceMs: number;
  /** Since when no attempt has ended though some are in flight. */
  private noProgressSinceMs = 0;
  /** How long it may go without progress and still count as responsive. */
  private toleranceMs = 0;
  private weightChangedMs: number;

  constructor(nowMs: number) {
    this.knownSinceMs = nowMs;
    this.weightChangedMs = nowMs;
  }

  /** Whether it is neither avoided after failures nor without progress for too long. */
  isHealthy(nowMs: number): boolean {
    const isResponsive = this.inFlight === 0 || nowMs - this.noProgressSinceMs <= this.toleranceMs;
    return this.avoidUntilMs <= nowMs && isResponsive;
  }

  /** Counts an attempt that starts, after which it may go without progress for `toleranceMs`. */
  start(toleranceMs: number, nowMs: number): void {
    this.toleranceMs = this.inFlight === 0 ? toleranceMs : Math.max(this.toleranceMs, toleranceMs);
    if (this.inFlight === 0) this.noProgressSinceMs = nowMs;
    this.inFlight += 1;
    this.attempts += 1;
  }

  /** Counts an attempt that wasn't sent after all. */
  cancel(): void {
    this.inFlight = Math.max(0, this.inFlight - 1);
  }

  /** Counts an attempt that ended. */
  end(nowMs: number): void {
    this.inFlight = Math.max(0, this.inFlight - 1);
    this.noProgressSinceMs = nowMs;
  }

  /** Learns from an attempt; `expectedMs` is what its route usually takes, `random` gives 0 up to 1. */
  recordSample(
    { latencyMs: tookMs, isComplete: isWhole }: AttemptSample,
    expectedMs: number,
    nowMs: number,
    random: () => number,
  ): void {
    this.relativeLatency +=
      (tookMs / Math.max(1, expectedMs) - this.relativeLatency) * LATENCY_SMOOTHING;
    this.latencyMs += (tookMs - this.latencyMs) * LATENCY_SMOOTHING;
    this.failureRate += ((isWhole ? 0 : 1) - this.failureRate) * FAILURE_SMOOTHING;
    this.consecutiveFailures = isWhole ? 0 : this.consecutiveFailures + 1;
    if (this.consecutiveFailures < MIN_CONSECUTIVE_FAILURES) return;
    const doublings = Math.min(this.consecutiveFailures, AVOIDANCE.maxDoublings);
    const avoidMs = Math.min(AVOIDANCE.maxMs, AVOIDANCE.initialMs * 2 ** doublings);
    this.avoidUntilMs = nowMs + avoidMs * (1 - AVOIDANCE.jitter / 2 + random() * AVOIDANCE.jitter);
  }

  /** Adjusts the weight by the latency target, at most twice a second. */
  adjustWeight(latencyTargetMs: number, nowMs: number): void {
    if (nowMs - this.weightChangedMs < WEIGHT_INTERVAL_MS) return;
    this.weightChangedMs = nowMs;
    const isSlow = this.latencyMs > latencyTargetMs;
    const misses = isSlow || this.failureRate > MAX_FAILURE_RATE;
    const step = misses ? WEIGHT_STEP.down : WEIGHT_STEP.up;
    const weight = Math.min(1, Math.max(MIN_WEIGHT, this.weight * step));
    if (weight === this.weight) return;
    this.weight = weight;
    if (!misses) this.weightReason = "meets its goal again";
    else if (isSlow)
      this.weightReason = `slower (${Math.round(this.latencyMs)} ms) than the goal of ${latencyTargetMs} ms`;
    else this.weightReason = `${Math.round(this.failureRate * 100)}% of its tries fail`;
  }
}
