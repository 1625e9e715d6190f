/** Checks whether the history of a register is linearizable. */
import type { Operation } from "./operation.js";

/** Operations that no order explains, and the reason. */
export interface Contradiction {
  readonly reason: string;
  readonly operations: readonly Operation[];
}

/** A write and the reads that returned its value. */
interface Cluster {
  readonly value: number;
  readonly operations: readonly Operation[];
  /** The earliest end of an operation in the cluster: the value became current no later. */
  readonly firstEnd: number;
  /** The latest begin of an operation in the cluster: the value stayed current at least until then. */
  readonly lastBegin: number;
}

/** A write of the initial value, before all operations. */
const initialWrite = (value: number): Operation => ({
  kind: "write",
  value,
  beganAt: Number.NEGATIVE_INFINITY,
  endedAt: -1e15,
});

const createCluster = (write: Operation, reads: readonly Operation[]): Cluster => {
  const operations = [write, ...reads];
  return {
    value: write.value,
    operations,
    firstEnd: Math.min(...operations.map(({ endedAt }) => endedAt ?? Number.POSITIVE_INFINITY)),
    lastBegin: Math.max(...operations.map(({ beganAt }) => beganAt)),
  };
};

/**
 * Whether the operations of two clusters can't all be ordered. The first value must have been current throughout an interval,
 * and the second can have been current neither only before nor only after that interval.
 */
const contradict = (first: Cluster, second: Cluster): boolean =>
  first.firstEnd < first.lastBegin &&
  first.firstEnd < second.lastBegin &&
  second.firstEnd < first.lastBegin;

/**
 * Finds operations that violate linearizability; returns undefined if the history is linearizable. It is linearizable if in
 * some order of the operations each takes effect between its begin and its end, and each read returns the latest write. All
 * written values must differ, so that a read's value identifies its write. It is then sufficient to compare each two values'
 * intervals (Gibbons and Korach, "Testing shared memories", 1997). A write without a known outcome may have taken effect at
 * any time after its begin, or never if no read returned its value.
 */
export const findContradiction = (
  operations: readonly Operation[],
  initial: number,
): Contradiction | undefined => {
  const ended = operations.filter(({ endedAt }) => endedAt !== undefined);
  const reads = ended.filter(({ kind }) => kind === "read");
  const writes = [initialWrite(initial), ...operations.filter(({ kind }) => kind === "write")];
  const writtenValues = new Set(writes.map(({ value }) => value));
  const unwrittenRead = reads.find(({ value }) => !writtenValues.has(value));
  if (unwrittenRead !== undefined)
    return {
      reason: "a read returned a value that was never written",
      operations: [unwrittenRead],
    };
  const clusters: Cluster[] = [];
  for (const write of writes) {
    const ownReads = reads.filter(({ value }) => value === write.value);
    const earlyRead = ownReads.find(({ endedAt = 0 }) => endedAt < write.beganAt);
    if (earlyRead !== undefined)
      return {
        reason: "a read returned a value that was written later",
        operations: [write, earlyRead],
      };
    if (write.endedAt !== undefined || ownReads.length > 0)
      clusters.push(createCluster(write, ownReads));
  }
  for (const first of clusters)
    for (const second of clusters)
      if (first !== second && contradict(first, second))
        return {
          reason: `values ${first.value} and ${second.value} were current at the same time`,
          operations: [...first.operations, ...second.operations],
        };
  return undefined;
};
