import type { Clock } from "../runtime/clock.js";

/** What every event of one machine passes: nothing while it is dead, all later while it is frozen. */
export class EventGate {
  private readonly late: Array<() => void> = [];
  private frozen = false;
  isAlive = true;

  pass(run: () => void): void {
    if (!this.isAlive) return;
    if (this.frozen) this.late.push(run);
    else run();
  }

  /** A clock whose timers pass this gate. */
  clock(clock: Clock): Clock {
    return { ...clock, after: (waitMs, run) => clock.after(waitMs, () => this.pass(run)) };
  }

  freeze(): void {
    this.frozen = true;
  }

  thaw(): void {
    this.frozen = false;
    for (let run = this.late.shift(); run !== undefined && !this.frozen; run = this.late.shift())
      this.pass(run);
  }

  kill(): void {
    this.isAlive = false;
    this.late.splice(0);
  }
}
