/** Classification of a view as an update of a daemon's replica, common to all replicas. */

/**
 * Outcome of applying a view. A delayed view may carry changes since an older state than the replica's: it is `outdated`, and the
 * replica stays unchanged. If the replica `differs` from the leader's, the daemon requests a full copy.
 */
export type ReplicaUpdate = "same" | "changed" | "outdated" | "differs";

/** State of a replica before a view is applied. */
export interface ReplicaState {
  readonly sequence: number;
  /** Whether the replica matches the leader's state at the same sequence, as far as known. */
  readonly isConsistent: boolean;
}

/** Classifies a view of the sequence `viewSequence`; `base` is the sequence that its changes apply to, `undefined` if it has none. */
export const classifyUpdate = (
  { sequence, isConsistent }: ReplicaState,
  viewSequence: number,
  base: number | undefined,
): ReplicaUpdate => {
  if (viewSequence === sequence) return "same";
  if (isConsistent && base !== undefined && base < sequence) return "outdated";
  return base === sequence ? "changed" : "differs";
};
