import type { Clock } from "../runtime/clock.js";

/** Passes the events of one process: drops them once it is killed, and defers them while it is frozen. */
export class EventGate {
  private readonly deferred: Array<() => void> = [];
  private isFrozen = false;
  isAlive = true;

  pass(run: () => void): void {
    if (!this.isAlive) return;
    if (this.isFrozen) this.deferred.push(run);
    else run();
  }

  /** Wraps a clock so that its timers pass this gate. */
  clock(clock: Clock): Clock {
    return { ...clock, after: (waitMs, run) => clock.after(waitMs, () => this.pass(run)) };
  }

  freeze(): void {
    this.isFrozen = true;
  }

  thaw(): void {
    this.isFrozen = false;
    for (
      let run = this.deferred.shift();
      run !== undefined && !this.isFrozen;
      run = this.deferred.shift()
    )
      this.pass(run);
  }

  kill(): void {
    this.isAlive = false;
    this.deferred.splice(0);
  }
}
