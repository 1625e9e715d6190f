import type { Clock } from "../runtime/clock.js";
import type { Logger } from "../runtime/logger.js";

/** How often a leader tells what it carried out. */
const periodMs = 5000;

interface Figures {
  count: number;
  sumMs: number;
  mostMs: number;
}

/** Counts the commands that a leader carries out, by kind, with the time that each took until its answer; logs them now and then. */
export class CommandMetrics {
  private readonly clock: Clock;
  private readonly log: Logger;
  private readonly byKind = new Map<string, Figures>();
  private sinceMs: number;

  constructor(clock: Clock, log: Logger) {
    this.clock = clock;
    this.log = log;
    this.sinceMs = clock.nowMs();
  }

  /** Notes one that was begun at a moment of the clock and is answered now. */
  note(kind: string, startedMs: number): void {
    const nowMs = this.clock.nowMs();
    const tookMs = nowMs - startedMs;
    const { count, sumMs, mostMs } = this.byKind.get(kind) ?? { count: 0, sumMs: 0, mostMs: 0 };
    this.byKind.set(kind, {
      count: count + 1,
      sumMs: sumMs + tookMs,
      mostMs: Math.max(mostMs, tookMs),
    });
    if (nowMs - this.sinceMs >= periodMs) this.tell(nowMs);
  }

  private tell(nowMs: number): void {
    const kinds = [...this.byKind].map(([kind, { count, sumMs, mostMs }]) => ({
      kind,
      count,
      meanMs: Math.round(sumMs / count),
      mostMs: Math.round(mostMs),
    }));
    this.log.info("Commands carried out as the leader.", {
      forMs: Math.round(nowMs - this.sinceMs),
      kinds,
    });
    this.byKind.clear();
    this.sinceMs = nowMs;
  }
}
