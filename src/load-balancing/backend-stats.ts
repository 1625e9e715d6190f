import type { AttemptSample } from "./attempt-sample.js";

const paceRate = 0.2;
const latencyRate = 0.2;
const failureRateStep = 0.1;
const firstLatencyMs = 20;
const leastShare = 0.1;
const shareStep = { down: 0.85, up: 1.05 };
const steerMs = 500;
/** A backend that fails more often than this misses its goal. */
const missingRate = 0.2;
/** How long a backend is avoided after failures in a row: doubled with each, up to a limit. */
const avoidance = { firstMs: 250, mostDoublings: 6, mostMs: 5000, spread: 0.5 };

/** What one daemon has seen of one backend. */
export interface BackendStats {
  latencyMs: number;
  /** How long it takes against what its requests' routes usually take; 1 where it is as fast as the others. */
  pace: number;
  /** 0 to 1, a moving mean over its tries. */
  failureRate: number;
  inHand: number;
  /** Since when nothing has ended there though something is in hand. */
  quietSinceMs: number;
  /** How long such a silence is nothing unusual. */
  patientMs: number;
  avoidUntilMs: number;
  failuresInARow: number;
  /** The part of its fair share of requests that it gets, 0.1 to 1. */
  share: number;
  sinceMs: number;
  tries: number;
  steeredMs: number;
  /** Why its share was last changed. */
  why: string;
}

export const BackendStats = {
  /** The stats of a backend that is new to this daemon. */
  fresh: (nowMs: number): BackendStats => ({
    latencyMs: firstLatencyMs,
    pace: 1,
    failureRate: 0,
    inHand: 0,
    quietSinceMs: 0,
    patientMs: 0,
    avoidUntilMs: 0,
    failuresInARow: 0,
    share: 1,
    sinceMs: nowMs,
    tries: 0,
    steeredMs: nowMs,
    why: "",
  }),

  /** Whether nothing speaks against a backend: no failures in a row, and no unusual silence. */
  isWell: (stats: BackendStats, nowMs: number): boolean =>
    stats.avoidUntilMs <= nowMs &&
    (stats.inHand === 0 || nowMs - stats.quietSinceMs <= stats.patientMs),

  /** Learns from one try; `usualMs` is what its route usually takes, `random` is 0 to 1. */
  learn(
    stats: BackendStats,
    { tookMs, isWhole }: AttemptSample,
    usualMs: number,
    nowMs: number,
    random: () => number,
  ): void {
    stats.pace += (tookMs / Math.max(1, usualMs) - stats.pace) * paceRate;
    stats.latencyMs += (tookMs - stats.latencyMs) * latencyRate;
    stats.failureRate += ((isWhole ? 0 : 1) - stats.failureRate) * failureRateStep;
    stats.failuresInARow = isWhole ? 0 : stats.failuresInARow + 1;
    if (isWhole || stats.failuresInARow < 2) return;
    const doublings = Math.min(stats.failuresInARow, avoidance.mostDoublings);
    const avoidMs = Math.min(avoidance.mostMs, avoidance.firstMs * 2 ** doublings);
    stats.avoidUntilMs = nowMs + avoidMs * (1 - avoidance.spread / 2 + random() * avoidance.spread);
  },

  /** Moves a backend's share toward the goal, at most twice a second. */
  steer(stats: BackendStats, goalMs: number, nowMs: number): void {
    if (nowMs - stats.steeredMs < steerMs) return;
    stats.steeredMs = nowMs;
    const isSlow = stats.latencyMs > goalMs;
    const misses = isSlow || stats.failureRate > missingRate;
    const step = misses ? shareStep.down : shareStep.up;
    const share = Math.min(1, Math.max(leastShare, stats.share * step));
    if (share !== stats.share) {
      if (!misses) stats.why = "meets its goal again";
      else if (isSlow)
        stats.why = `slower (${Math.round(stats.latencyMs)} ms) than the goal of ${goalMs} ms`;
      else stats.why = `${Math.round(stats.failureRate * 100)}% of its tries fail`;
    }
    stats.share = share;
  },
};
