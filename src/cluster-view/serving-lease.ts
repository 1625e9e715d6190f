/** The lease under which a daemon serves requests: it proves that the daemon's view of the cluster is recent. */
import type { Clock } from "../runtime/clock.js";

/** A daemon's lease to serve. The leader's answers renew it; a reading of the clock at its end or later finds it expired. */
export class ServingLease {
  private readonly clock: Clock;
  private untilMs = -Infinity;
  private wasAcquired = false;

  constructor(clock: Clock) {
    this.clock = clock;
  }

  /** Whether the lease is in force now. */
  get isHeld(): boolean {
    return this.clock.nowMs() < this.untilMs;
  }

  /** Milliseconds until the lease ends; negative once it has. */
  get remainingMs(): number {
    return this.untilMs - this.clock.nowMs();
  }

  /** Milliseconds since the lease ended; 0 while it is in force. */
  get expiredForMs(): number {
    return Math.max(0, this.clock.nowMs() - this.untilMs);
  }

  /** Whether the lease ended more than `graceMs` before a moment of the clock. */
  isOverdue(nowMs: number, graceMs: number): boolean {
    return nowMs > this.untilMs + graceMs;
  }

  /** Moves the end of the lease to a later moment; an earlier one changes nothing. */
  extend(untilMs: number): void {
    this.untilMs = Math.max(this.untilMs, untilMs);
  }

  /** Marks the lease as acquired; true if it wasn't since it last expired. */
  markAcquired(): boolean {
    const isNew = !this.wasAcquired;
    this.wasAcquired = true;
    return isNew;
  }

  /** Marks an acquired lease as expired if it has ended; true once for each end. */
  markExpired(): boolean {
    if (!this.wasAcquired || this.isHeld) return false;
    this.wasAcquired = false;
    return true;
  }
}
