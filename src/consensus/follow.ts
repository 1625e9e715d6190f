/** The transition to the follower role. */
import type { ConsensusState } from "./state.js";

/** The state of a follower in a term; `leader` is empty while the leader is unknown. */
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
