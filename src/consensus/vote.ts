/** How a member decides on a vote, and a candidate counts votes. */
import type { DecodedMessage } from "../rpc/rpc-endpoint.js";
import type { rpcMethods } from "../rpc/rpc-method.js";
import type { LogRecord } from "./log-record.js";
import { becomeFollower } from "./follow.js";
import { isMajority } from "./quorum.js";
import { currentMemberRights } from "./rights.js";
import type { ConsensusState, DecisionContext } from "./state.js";

/** A candidate's request for a vote or a pre-vote. */
export type VoteRequest = DecodedMessage<typeof rpcMethods.vote.request>;

/** The reply to a vote request. */
export type VoteReply = DecodedMessage<typeof rpcMethods.vote.response>;

/** The decision on a vote request: the next state, the records to write, and the reply. */
export interface VoteDecision {
  readonly state: ConsensusState;
  readonly records: readonly LogRecord[];
  /** Whether the reply waits until the records are on disk. */
  readonly replyAfterSync: boolean;
  readonly reply: VoteReply;
}

const isUpToDate = (
  state: ConsensusState,
  request: VoteRequest,
  { rules }: DecisionContext,
): boolean => {
  const { lastTerm, lastIndex } = state.log;
  if (!rules.voteOnlyForUpToDateLog) return true;
  return (
    request.lastTerm > lastTerm || (request.lastTerm === lastTerm && request.lastIndex >= lastIndex)
  );
};

/** Decides whether a candidate gets this member's vote. */
export const decideVote = (
  state: ConsensusState,
  request: VoteRequest,
  context: DecisionContext,
): VoteDecision => {
  const replyAtOnce = (granted: boolean): VoteDecision => ({
    state,
    records: [],
    replyAfterSync: false,
    reply: { term: state.term, granted },
  });
  const upToDate = isUpToDate(state, request, context);
  const rights = currentMemberRights(state, context);
  const voluntary = request.isPreVote ? rights.preVote : rights.vote;
  const mayVote = request.handOver ? rights.voteOnLeadershipTransfer : voluntary;
  if (!mayVote || request.term < state.term) return replyAtOnce(false);
  if (request.isPreVote) return replyAtOnce(upToDate && request.term > state.term);
  const voter =
    request.term > state.term ? becomeFollower(state, request.term, "", context.nowMs) : state;
  const isFree =
    voter.votedFor === "" || voter.votedFor === request.candidate || !context.rules.oneVotePerTerm;
  const granted = upToDate && isFree;
  const { term } = voter;
  const next = granted
    ? { ...voter, votedFor: request.candidate, lastLeaderContactMs: context.nowMs }
    : voter;
  return {
    state: next,
    records: [{ kind: "vote", term, text: next.votedFor }],
    replyAfterSync: context.rules.syncVoteBeforeReply,
    reply: { term, granted },
  };
};

/** A vote, or a refusal, that came back to a candidate. */
export interface ReceivedVote {
  readonly peer: string;
  readonly isPreVote: boolean;
  /** The term of the request. */
  readonly term: number;
  readonly reply: VoteReply;
}

/** The state of a candidate after a reply: with a majority, a candidate after a pre-vote, the leader after an election. */
export const countVote = (
  state: ConsensusState,
  received: ReceivedVote,
  nowMs: number,
): ConsensusState => {
  const { peer, isPreVote, term, reply } = received;
  if (!reply.granted && reply.term > state.term)
    return becomeFollower(state, reply.term, "", nowMs);
  const isCurrent = isPreVote
    ? state.role === "preCandidate" && term === state.term + 1
    : state.role === "candidate" && term === state.term;
  if (!isCurrent || !reply.granted) return state;
  const votes = new Set(state.votes).add(peer);
  if (!isMajority(state.members, votes)) return { ...state, votes };
  return { ...state, votes, role: isPreVote ? "candidate" : "leader" };
};
