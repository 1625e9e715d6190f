/** How a leader advances its commit index from the members' acknowledgments. */
import { reachedByMajority } from "./quorum.js";
import type { ConsensusState, DecisionContext } from "./state.js";

/** The state with all entries up to an index committed; an index past the log's end stands for the last entry. */
export const commitUpTo = (state: ConsensusState, index: number): ConsensusState => {
  const committedIndex = Math.max(state.committedIndex, Math.min(index, state.log.lastIndex));
  return committedIndex === state.committedIndex ? state : { ...state, committedIndex };
};

/** The highest index up to which the leader knows that a member has the leader's log on disk. */
const syncedIndexOf = (state: ConsensusState, member: string): number =>
  member === state.self ? state.syncedIndex : (state.matchIndexes.get(member) ?? 0);

/**
 * Advances the commit index to the last entry that a majority of the voters has on disk, if that entry is of the leader's own
 * term. An entry of an older term may be on a majority and still be overwritten by a leader whose last entry has a later term.
 */
export const advanceCommit = (
  state: ConsensusState,
  { rules }: Pick<DecisionContext, "rules">,
): ConsensusState => {
  const { members } = state;
  const countedMembers = rules.countOnlyVoters
    ? members.voters
    : [...members.voters, ...members.learners];
  const index =
    reachedByMajority(members, (member) => syncedIndexOf(state, member), countedMembers) ?? 0;
  if (index <= state.committedIndex) return state;
  const isOwnTerm = state.log.termAt(index) === state.term;
  return isOwnTerm || !rules.commitOnlyOwnTerm ? commitUpTo(state, index) : state;
};

/** The state of a leader whose own log is on disk up to an index. */
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

/** A member's acknowledgment of a request from the leader of a term. */
export interface Acknowledgment {
  readonly peer: string;
  readonly term: number;
  /** When the acknowledged request was sent, on the leader's clock. */
  readonly sentMs: number;
  readonly matchIndex: number;
  /** Whether the leader may count the member in a majority; false while the member rejoins. */
  readonly counts: boolean;
}

/** The leader's state after an acknowledgment, which may advance the commit index and extend the lease. */
export const onAcknowledgment = (
  state: ConsensusState,
  acknowledgment: Acknowledgment,
  { rules, nowMs }: Pick<DecisionContext, "rules" | "nowMs">,
): ConsensusState => {
  const { peer, term, matchIndex, counts } = acknowledgment;
  if (state.role !== "leader" || state.term !== term) return state;
  const responsiveSinceMs = new Map(state.responsiveSinceMs);
  if (!counts) {
    responsiveSinceMs.delete(peer);
    return advanceCommit({ ...state, responsiveSinceMs }, { rules });
  }
  if (!responsiveSinceMs.has(peer)) responsiveSinceMs.set(peer, nowMs);
  const sentMs = rules.leaseFromSending ? acknowledgment.sentMs : nowMs;
  const previousMatchIndex = state.matchIndexes.get(peer) ?? 0;
  const previousSentMs = state.acknowledgedSentMs.get(peer) ?? Number.NEGATIVE_INFINITY;
  return advanceCommit(
    {
      ...state,
      responsiveSinceMs,
      matchIndexes: new Map(state.matchIndexes).set(peer, Math.max(previousMatchIndex, matchIndex)),
      acknowledgedSentMs: new Map(state.acknowledgedSentMs).set(
        peer,
        Math.max(previousSentMs, sentMs),
      ),
    },
    { rules },
  );
};
