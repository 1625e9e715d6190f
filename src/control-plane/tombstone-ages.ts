/** The ages of tombstones as this member observed them; they decide when a tombstone may be removed. */
import type { StateMachine } from "../state/state-machine.js";

/** The factor by which the oldest tombstone outlasts its time before any is removed, so that many are removed in one log entry. */
const REMOVAL_BATCH_FACTOR = 1.1;

/** Since when each instance with a tombstone has been removed, or last sent a heartbeat, as observed by this member. */
export class TombstoneAges {
  private readonly stateMachine: StateMachine;
  private readonly sinceMs = new Map<string, number>();

  constructor(stateMachine: StateMachine) {
    this.stateMachine = stateMachine;
  }

  /** Begins a term: the age of every tombstone counts from now. */
  startTerm(nowMs: number): void {
    this.sinceMs.clear();
    for (const instance of this.stateMachine.tombstones.keys()) this.sinceMs.set(instance, nowMs);
  }

  /** Takes in tombstones that are new; reads the clock only where there may be some. */
  observe(nowMs: () => number): void {
    if (this.sinceMs.size === this.stateMachine.tombstones.size) return;
    const observedMs = nowMs();
    for (const instance of this.stateMachine.tombstones.keys())
      if (!this.sinceMs.has(instance)) this.sinceMs.set(instance, observedMs);
  }

  /** Lets the age of an instance's tombstone count from now, since the instance still sends heartbeats. */
  renew(instance: string, nowMs: number): void {
    this.sinceMs.set(instance, nowMs);
  }

  /** Drops the age of a tombstone that was removed. */
  delete(instance: string): void {
    this.sinceMs.delete(instance);
  }

  /** The instances whose tombstones are older than `retentionMs`; none until the oldest is older by a tenth. */
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
