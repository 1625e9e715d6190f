import type { Operation } from "./operation.js";

/** Calls as they began and ended, recorded while a run goes on. */
export class OperationHistory {
  private readonly recorded: Operation[] = [];
  private moment = 0;

  get operations(): readonly Operation[] {
    return this.recorded;
  }

  /** A call begins; its number. */
  begin(kind: "read" | "write", value = 0): number {
    this.moment += 1;
    this.recorded.push({ kind, value, beganAt: this.moment, endedAt: undefined });
    return this.recorded.length - 1;
  }

  /** A call has ended well; a read tells its value. One that never ends may or may not have taken effect. */
  end(call: number, value?: number): void {
    const operation = this.recorded[call];
    if (operation === undefined) return;
    this.moment += 1;
    this.recorded[call] = { ...operation, value: value ?? operation.value, endedAt: this.moment };
  }

  copyFrom(other: OperationHistory): void {
    this.recorded.splice(0, this.recorded.length, ...other.recorded);
    this.moment = other.moment;
  }
}
