/** Records the operations of a run as a history. */
import type { Operation } from "./operation.js";

/** The begins and ends of operations in a run, ordered by a logical clock. */
export class OperationHistory {
  private readonly operationList: Operation[] = [];
  private logicalTime = 0;

  get operations(): readonly Operation[] {
    return this.operationList;
  }

  /** Records the begin of an operation; returns its index. */
  begin(kind: "read" | "write", value = 0): number {
    this.logicalTime += 1;
    this.operationList.push({ kind, value, beganAt: this.logicalTime, endedAt: undefined });
    return this.operationList.length - 1;
  }

  /** Records the successful end of an operation, for a read with its value. A write that never ends may have taken effect. */
  end(index: number, value?: number): void {
    const operation = this.operationList[index];
    if (operation === undefined) return;
    this.logicalTime += 1;
    this.operationList[index] = {
      ...operation,
      value: value ?? operation.value,
      endedAt: this.logicalTime,
    };
  }

  copyFrom(other: OperationHistory): void {
    this.operationList.splice(0, this.operationList.length, ...other.operationList);
    this.logicalTime = other.logicalTime;
  }
}
