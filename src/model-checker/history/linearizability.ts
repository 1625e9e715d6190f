import type { Operation } from "./operation.js";

/** The calls that no order explains, and why. */
export interface Contradiction {
  readonly reason: string;
  readonly operations: readonly Operation[];
}

/** A write and the reads that gave its value. */
interface Cluster {
  readonly value: number;
  readonly operations: readonly Operation[];
  /** When the first of its calls had ended: from then on at the latest the value was in force. */
  readonly firstEnd: number;
  /** When the last of its calls began: until then at least the value was in force. */
  readonly lastBegin: number;
}

/** The write that is taken to have set the initial value, before all calls. */
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
 * Whether two values can't each have been in force for as long as their calls ask for: the one over a whole span, the
 * other at some moment or over a span that can't be put before or after it.
 */
const contradict = (one: Cluster, other: Cluster): boolean =>
  one.firstEnd < one.lastBegin && one.firstEnd < other.lastBegin && other.firstEnd < one.lastBegin;

/**
 * Whether a register's history is linearizable: some order of its calls has each take effect between its beginning and
 * its end, and each read give what was written last. The values that are written differ, so that each read tells its
 * write; then it is enough to compare the spans over which two values were in force (Gibbons and Korach, "Testing
 * shared memories", 1997). A write without a known outcome may have taken effect at any time, or never where nobody
 * read it. Undefined where the history is linearizable.
 */
export const findContradiction = (
  operations: readonly Operation[],
  initial: number,
): Contradiction | undefined => {
  const ended = operations.filter(({ endedAt }) => endedAt !== undefined);
  const reads = ended.filter(({ kind }) => kind === "read");
  const writes = [initialWrite(initial), ...operations.filter(({ kind }) => kind === "write")];
  const known = new Set(writes.map(({ value }) => value));
  const invented = reads.find(({ value }) => !known.has(value));
  if (invented !== undefined)
    return { reason: "a read gave what nobody wrote", operations: [invented] };
  const clusters: Cluster[] = [];
  for (const write of writes) {
    const own = reads.filter(({ value }) => value === write.value);
    const early = own.find(({ endedAt = 0 }) => endedAt < write.beganAt);
    if (early !== undefined)
      return { reason: "a read gave what was written later", operations: [write, early] };
    if (write.endedAt !== undefined || own.length > 0) clusters.push(createCluster(write, own));
  }
  for (const one of clusters)
    for (const other of clusters)
      if (one !== other && contradict(one, other))
        return {
          reason: `${one.value} and ${other.value} were both in force at one time`,
          operations: [...one.operations, ...other.operations],
        };
  return undefined;
};
