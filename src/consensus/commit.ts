/** What is committed, by what members acknowledged. */
import { reachedByMajority } from "./quorum.js";
import type { ConsensusState, DecisionContext } from "./state.js";

/** The state with all entries up to an index committed, as far as the log goes. */
export const commitUpTo = (state: ConsensusState, index: number): ConsensusState => {
  const committedIndex = Math.max(state.committedIndex, Math.min(index, state.log.lastIndex));
  return committedIndex === state.committedIndex ? state : { ...state, committedIndex };
};

/** The index up to which a member has the leader's log on disk, as far as the leader knows. */
const syncedIndexOf = (state: ConsensusState, member: string): number =>
  member === state.self ? state.syncedIndex : (state.matchIndexes.get(member) ?? 0);

/**
 * What a leader commits: entries that a majority of the voters has on disk, and only by an entry of its own term. An
 * older entry may be on a majority and still be replaced by a leader whose log is longer in a later term.
 */
export const advanceCommit = (
  state: ConsensusState,
  { rules }: Pick<DecisionContext, "rules">,
): ConsensusState => {
  const { members } = state;
  const counted = rules.countOnlyVoters ? members.voters : [...members.voters, ...members.learners];
  const index = reachedByMajority(members, (member) => syncedIndexOf(state, member), counted) ?? 0;
  if (index <= state.committedIndex) return state;
  const isOwnTerm = state.log.termAt(index) === state.term;
  return isOwnTerm || !rules.commitOnlyOwnTerm ? commitUpTo(state, index) : state;
};

/** A leader's own entries are on disk up to an index. */
export const onOwnEntriesSynced = (
  state: ConsensusState,
  term: number,
  index: number,
  context: Pick<DecisionContext, "rules">,
): ConsensusState => {
  if (state.role !== "leader" || state.term !== term) return state;
  const syncedIndex = Math.max(state.syncedIndex, index);
  return advanceCommit({ ...state, syncedIndex }, context);
};

/** What a member acknowledged to the leader of a term. */
export interface Acknowledgment {
  readonly peer: string;
  readonly term: number;
  /** When the acknowledged request was sent, on the leader's clock. */
  readonly sentMs: number;
  readonly matchIndex: number;
  /** Whether the member counts, which it doesn't while it rejoins. */
  readonly counts: boolean;
}

/** The leader's state after an acknowledgment, which counts for commits and for the lease. */
export const onAcknowledgment = (
  state: ConsensusState,
  acknowledgment: Acknowledgment,
  { rules, nowMs }: Pick<DecisionContext, "rules" | "nowMs">,
): ConsensusState => {
  const { peer, term, matchIndex: matched, counts } = acknowledgment;
  if (state.role !== "leader" || state.term !== term) return state;
  const responsiveSinceMs = new Map(state.responsiveSinceMs);
  if (!counts) {
    responsiveSinceMs.delete(peer);
    return advanceCommit({ ...state, responsiveSinceMs }, { rules });
  }
  if (!responsiveSinceMs.has(peer)) responsiveSinceMs.set(peer, nowMs);
  const sentMs = rules.leaseFromSending ? acknowledgment.sentMs : nowMs;
  const matchedSoFar = state.matchIndexes.get(peer) ?? 0;
  const sentSoFar = state.acknowledgedSentMs.get(peer) ?? Number.NEGATIVE_INFINITY;
  return advanceCommit(
    {
      ...state,
      responsiveSinceMs,
      matchIndexes: new Map(state.matchIndexes).set(peer, Math.max(matchedSoFar, matched)),
      acknowledgedSentMs: new Map(state.acknowledgedSentMs).set(peer, Math.max(sentSoFar, sentMs)),
    },
    { rules },
  );
};
