/** What a view does to a daemon's replica of a table: the decision that all replicas have in common. */

/**
 * The outcome of applying a view. A view that came late may carry changes since a state that the replica has left behind: it is
 * `outdated`, and the replica remains as it is. Where the replica `differs` from the leader's, a full copy is requested.
 */
export type ReplicaUpdate = "same" | "changed" | "outdated" | "differs";

/** What is known of a replica before a view is applied. */
export interface ReplicaState {
  readonly sequence: number;
  /** Whether the replica is what the leader had at its sequence, as far as is known. */
  readonly isConsistent: boolean;
}

/** What a view of some sequence does to a replica, where its changes follow upon the sequence `base` or it carries none. */
export const classifyUpdate = (
  { sequence, isConsistent }: ReplicaState,
  viewSequence: number,
  base: number | undefined,
): ReplicaUpdate => {
  if (viewSequence === sequence) return "same";
  if (isConsistent && base !== undefined && base < sequence) return "outdated";
  return base === sequence ? "changed" : "differs";
};
