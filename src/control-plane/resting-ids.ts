/** The ids of services and routes that are out of use, by the leader's clock. */
import type { StateMachine } from "../state/state-machine.js";

/** Observes since when ids have been out of use, so that they can be given to other names after a time. */
export class IdQuarantine {
  private readonly stateMachine: StateMachine;
  private readonly restMs: number;
  /** Since when this leader has observed an id to rest. */
  private readonly sinceMs = new Map<number, number>();

  /** An id rests for `restMs`. */
  constructor(stateMachine: StateMachine, restMs: number) {
    this.stateMachine = stateMachine;
    this.restMs = restMs;
  }

  /** Begins a term: every id's rest counts from the next observation. */
  startTerm(): void {
    this.sinceMs.clear();
  }

  /** The ids that have rested for long enough; also observes which ids rest now. */
  findReusableIds(nowMs: number): number[] {
    const { quarantinedIds: resting } = this.stateMachine.idAllocator;
    for (const id of this.sinceMs.keys()) if (!resting.has(id)) this.sinceMs.delete(id);
    for (const id of resting) if (!this.sinceMs.has(id)) this.sinceMs.set(id, nowMs);
    return [...this.sinceMs]
      .filter(([, sinceMs]) => nowMs - sinceMs > this.restMs)
      .map(([id]) => id);
  }
}
