/** The lease under which a daemon serves requests; it proves that the daemon's view of the cluster is recent. */
import type { Clock } from "../runtime/clock.js";

/** A daemon's serving lease. The leader's responses renew it; it is expired from its end time on. */
export class ServingLease {
  private readonly clock: Clock;
  private untilMs = -Infinity;
  private wasAcquired = false;

  constructor(clock: Clock) {
    this.clock = clock;
  }

  /** Whether the lease is held now. */
  get isHeld(): boolean {
    return this.clock.nowMs() < this.untilMs;
  }

  /** Milliseconds until the lease expires; negative after that. */
  get remainingMs(): number {
    return this.untilMs - this.clock.nowMs();
  }

  /** Milliseconds since the lease expired; 0 while it is held. */
  get expiredForMs(): number {
    return Math.max(0, this.clock.nowMs() - this.untilMs);
  }

  /** Whether the lease expired more than `graceMs` before `nowMs`. */
  isOverdue(nowMs: number, graceMs: number): boolean {
    return nowMs > this.untilMs + graceMs;
  }

  /** Extends the lease to `untilMs`; an earlier time than its current end has no effect. */
  extend(untilMs: number): void {
    this.untilMs = Math.max(this.untilMs, untilMs);
  }

  /** Marks the lease as acquired; true on the first call after its last expiry. */
  markAcquired(): boolean {
    const isNew = !this.wasAcquired;
    this.wasAcquired = true;
    return isNew;
  }

  /** Marks an acquired lease as expired if it has ended; true once per expiry. */
  markExpired(): boolean {
    if (!this.wasAcquired || this.isHeld) return false;
    this.wasAcquired = false;
    return true;
  }
}
