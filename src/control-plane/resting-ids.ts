/** The quarantine of the ids of services and routes that are no longer in use, by the leader's clock. */
import type { StateMachine } from "../state/state-machine.js";

/** Tracks how long each unused id has been quarantined; afterwards another name may get it. */
export class IdQuarantine {
  private readonly stateMachine: StateMachine;
  private readonly quarantineMs: number;
  /** The time at which this leader first observed each quarantined id. */
  private readonly sinceMs = new Map<number, number>();

  /** Quarantines each unused id for `quarantineMs`. */
  constructor(stateMachine: StateMachine, quarantineMs: number) {
    this.stateMachine = stateMachine;
    this.quarantineMs = quarantineMs;
  }

  /** Starts a term: the quarantine of every id counts from the next observation. */
  startTerm(): void {
    this.sinceMs.clear();
  }

  /** The ids whose quarantine is over; also starts the quarantine of ids that are newly out of use. */
  findReusableIds(nowMs: number): number[] {
    const { quarantinedIds } = this.stateMachine.idAllocator;
    for (const id of this.sinceMs.keys()) if (!quarantinedIds.has(id)) this.sinceMs.delete(id);
    for (const id of quarantinedIds) if (!this.sinceMs.has(id)) this.sinceMs.set(id, nowMs);
    return [...this.sinceMs]
      .filter(([, sinceMs]) => nowMs - sinceMs > this.quarantineMs)
      .map(([id]) => id);
  }
}
