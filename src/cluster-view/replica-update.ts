/**
 * What a view did to a daemon's copy of a table. A view that came late may tell changes since a state that the copy has left
 * behind: it is `outdated`, which says nothing against the copy. A copy that `differs` from the leader's is asked for whole.
 */
export type ReplicaUpdate = "same" | "changed" | "outdated" | "differs";
