import type { Operation } from "./operation.js";

/** A history that no order of its calls explains: what was known to be in force, and the calls that could not follow. */
export interface Contradiction {
  /** How many calls can be put in order at most. */
  readonly explained: number;
  readonly stuckAt: readonly Operation[];
}

interface Search {
  readonly operations: readonly Operation[];
  readonly seen: Set<string>;
  best: { explained: number; stuckAt: readonly Operation[] };
}

/** Calls that may come next: no other one that is left ended before they began. */
const nextOnes = ({ operations }: Search, taken: ReadonlySet<number>): number[] => {
  let earliestEnd = Number.POSITIVE_INFINITY;
  operations.forEach(({ endedAt }, at) => {
    if (!taken.has(at)) earliestEnd = Math.min(earliestEnd, endedAt ?? Number.POSITIVE_INFINITY);
  });
  return operations.flatMap(({ beganAt }, at) =>
    !taken.has(at) && beganAt <= earliestEnd ? [at] : [],
  );
};

const canBeOrdered = (search: Search, taken: Set<number>, value: number): boolean => {
  const { operations, seen } = search;
  const left = operations.filter(({ endedAt }, at) => endedAt !== undefined && !taken.has(at));
  if (left.length === 0) return true;
  const key = `${value}:${[...taken].sort((a, b) => a - b).join()}`;
  if (seen.has(key)) return false;
  seen.add(key);
  const candidates = nextOnes(search, taken);
  if (taken.size >= search.best.explained)
    search.best = {
      explained: taken.size,
      stuckAt: candidates.flatMap((at) => operations[at] ?? []),
    };
  for (const at of candidates) {
    const operation = operations[at];
    if (operation === undefined) continue;
    if (operation.kind === "read" && operation.value !== value) continue;
    taken.add(at);
    if (canBeOrdered(search, taken, operation.value)) return true;
    taken.delete(at);
  }
  return false;
};

/**
 * Whether a register's history is linearizable: some order of its calls has each take effect between its beginning and
 * its end, and each read give what was written last. Calls without a known outcome may take effect or not. Wing and
 * Gong's search, with the situations that were met before left out. Undefined where it is.
 */
export const findContradiction = (
  operations: readonly Operation[],
  initial: number,
): Contradiction | undefined => {
  const sorted = operations
    .filter(({ kind, endedAt }) => kind === "write" || endedAt !== undefined)
    .sort((a, b) => a.beganAt - b.beganAt);
  const search: Search = {
    operations: sorted,
    seen: new Set(),
    best: { explained: 0, stuckAt: [] },
  };
  return canBeOrdered(search, new Set(), initial) ? undefined : search.best;
};
