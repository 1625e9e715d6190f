/** Counts and durations of the commands that a leader processes, logged periodically. */
import type { Clock } from "../runtime/clock.js";
import type { Logger } from "../runtime/logger.js";

/** Interval between two log lines. */
const REPORT_INTERVAL_MS = 5000;

interface KindMetrics {
  readonly count: number;
  readonly sumMs: number;
  readonly maxMs: number;
}

/** Counts the commands that a leader processes, by kind, with the durations until their responses; logs them periodically. */
export class CommandMetrics {
  private readonly clock: Clock;
  private readonly log: Logger;
  private readonly byKind = new Map<string, KindMetrics>();
  private periodStartMs: number;

  constructor(clock: Clock, log: Logger) {
    this.clock = clock;
    this.log = log;
    this.periodStartMs = clock.nowMs();
  }

  /** Records a command that started at `startedMs` of the clock and completes now. */
  record(kind: string, startedMs: number): void {
    const nowMs = this.clock.nowMs();
    const durationMs = nowMs - startedMs;
    const { count, sumMs, maxMs } = this.byKind.get(kind) ?? { count: 0, sumMs: 0, maxMs: 0 };
    this.byKind.set(kind, {
      count: count + 1,
      sumMs: sumMs + durationMs,
      maxMs: Math.max(maxMs, durationMs),
    });
    if (nowMs - this.periodStartMs >= REPORT_INTERVAL_MS) this.report(nowMs);
  }

  private report(nowMs: number): void {
    const kinds = [...this.byKind].map(([kind, { count, sumMs, maxMs }]) => ({
      kind,
      count,
      meanMs: Math.round(sumMs / count),
      maxMs: Math.round(maxMs),
    }));
    this.log.info("command metrics", { periodMs: Math.round(nowMs - this.periodStartMs), kinds });
    this.byKind.clear();
    this.periodStartMs = nowMs;
  }
}
