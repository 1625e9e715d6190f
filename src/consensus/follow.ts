/** How a member becomes a follower. */
import type { ConsensusState } from "./state.js";

/** The state of a member that follows in a term, under a leader or under none that is known. */
export const becomeFollower = (
  state: ConsensusState,
  term: number,
  leader: string,
  nowMs: number,
): ConsensusState => {
  const hasContact = leader !== "" || state.role === "leader";
  return {
    ...state,
    term: Math.max(term, state.term),
    votedFor: term > state.term ? "" : state.votedFor,
    role: "follower",
    knownLeader: leader,
    lastLeaderContactMs: hasContact ? nowMs : state.lastLeaderContactMs,
    lastAppendMs: hasContact ? nowMs : state.lastAppendMs,
  };
};
