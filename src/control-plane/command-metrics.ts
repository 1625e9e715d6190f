/** Counts and durations of the commands that a leader processes, logged periodically. */
import type { Clock } from "../runtime/clock.js";
import type { Logger } from "../runtime/logger.js";

/** The interval between two log lines. */
const REPORT_INTERVAL_MS = 5000;

interface KindMetrics {
  readonly count: number;
  readonly sumMs: number;
  readonly maxMs: number;
}

/** Counts the commands that a leader processes, by kind, with the time of each until its response; logs them periodically. */
export class CommandMetrics {
  private readonly clock: Clock;
  private readonly log: Logger;
  private readonly byKind = new Map<string, KindMetrics>();
  private sinceMs: number;

  constructor(clock: Clock, log: Logger) {
    this.clock = clock;
    this.log = log;
    this.sinceMs = clock.nowMs();
  }

  /** Takes in a command that began at `startedMs` of the clock and is responded to now. */
  record(kind: string, startedMs: number): void {
    const nowMs = this.clock.nowMs();
    const durationMs = nowMs - startedMs;
    const { count, sumMs, maxMs } = this.byKind.get(kind) ?? { count: 0, sumMs: 0, maxMs: 0 };
    this.byKind.set(kind, {
      count: count + 1,
      sumMs: sumMs + durationMs,
      maxMs: Math.max(maxMs, durationMs),
    });
    if (nowMs - this.sinceMs >= REPORT_INTERVAL_MS) this.report(nowMs);
  }

  private report(nowMs: number): void {
    const kinds = [...this.byKind].map(([kind, { count, sumMs, maxMs }]) => ({
      kind,
      count,
      meanMs: Math.round(sumMs / count),
      maxMs: Math.round(maxMs),
    }));
    this.log.info("command metrics", { periodMs: Math.round(nowMs - this.sinceMs), kinds });
    this.byKind.clear();
    this.sinceMs = nowMs;
  }
}
