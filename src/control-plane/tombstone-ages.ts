/** The ages of tombstones as this member observes them, which decide when a tombstone may be removed. */
import type { StateMachine } from "../state/state-machine.js";

/** Factor by which the oldest tombstone exceeds its retention time before any is removed, so that a log entry removes many. */
const REMOVAL_BATCH_FACTOR = 1.1;

/** The time of each tombstone's creation, or of the last heartbeat of its instance, as observed by this member. */
export class TombstoneAges {
  private readonly stateMachine: StateMachine;
  private readonly sinceMs = new Map<string, number>();

  constructor(stateMachine: StateMachine) {
    this.stateMachine = stateMachine;
  }

  /** Starts a term: the age of every tombstone counts from now. */
  startTerm(nowMs: number): void {
    this.sinceMs.clear();
    for (const instance of this.stateMachine.tombstones.keys()) this.sinceMs.set(instance, nowMs);
  }

  /** Records new tombstones; reads the clock only if there may be any. */
  observe(nowMs: () => number): void {
    if (this.sinceMs.size === this.stateMachine.tombstones.size) return;
    const observedMs = nowMs();
    for (const instance of this.stateMachine.tombstones.keys())
      if (!this.sinceMs.has(instance)) this.sinceMs.set(instance, observedMs);
  }

  /** Resets the age of an instance's tombstone, since the instance still sends heartbeats. */
  renew(instance: string, nowMs: number): void {
    this.sinceMs.set(instance, nowMs);
  }

  /** Removes the age of a tombstone that was removed. */
  delete(instance: string): void {
    this.sinceMs.delete(instance);
  }

  /** The instances whose tombstones are older than `retentionMs`; none until the oldest exceeds it by `REMOVAL_BATCH_FACTOR`. */
  expired(nowMs: number, retentionMs: number): string[] {
    for (const instance of this.sinceMs.keys())
      if (!this.stateMachine.tombstones.has(instance)) this.sinceMs.delete(instance);
    let oldestMs = nowMs;
    for (const sinceMs of this.sinceMs.values()) oldestMs = Math.min(oldestMs, sinceMs);
    if (nowMs - oldestMs <= retentionMs * REMOVAL_BATCH_FACTOR) return [];
    return [...this.sinceMs]
      .filter(([, sinceMs]) => nowMs - sinceMs > retentionMs)
      .map(([instance]) => instance);
  }
}
