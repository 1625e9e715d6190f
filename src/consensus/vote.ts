import type { DecodedMessage } from "../rpc/rpc-endpoint.js";
import type { RpcMethod } from "../rpc/rpc-method.js";
import type { LogRecord } from "./log-record.js";
import { becomeFollower } from "./follow.js";
import { isMajority } from "./quorum.js";
import { memberRightsOf } from "./rights.js";
import type { ConsensusState, DecisionContext } from "./state.js";

/** A candidate's request for a vote, or in a pre-vote the question whether it would be given. */
export type VoteRequest = DecodedMessage<typeof RpcMethod.vote.request>;

/** The answer to a vote request. */
export type VoteReply = DecodedMessage<typeof RpcMethod.vote.response>;

/** What a member does on a vote request: it takes the state, writes the records, and replies once they are synced. */
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

/** Who gets this member's vote. */
export const decideVote = (
  state: ConsensusState,
  request: VoteRequest,
  context: DecisionContext,
): VoteDecision => {
  const answerAtOnce = (granted: boolean): VoteDecision => ({
    state,
    records: [],
    replyAfterSync: false,
    reply: { term: state.term, granted },
  });
  const upToDate = isUpToDate(state, request, context);
  const rights = memberRightsOf(state, context);
  const voluntary = request.isPreVote ? rights.preVote : rights.vote;
  const mayVote = request.handOver ? rights.voteOnHandOver : voluntary;
  if (!mayVote || request.term < state.term) return answerAtOnce(false);
  if (request.isPreVote) return answerAtOnce(upToDate && request.term > state.term);
  const heard =
    request.term > state.term ? becomeFollower(state, request.term, "", context.nowMs) : state;
  const isFree =
    heard.votedFor === "" || heard.votedFor === request.candidate || !context.rules.oneVotePerTerm;
  const granted = upToDate && isFree;
  const { term } = heard;
  const next = granted
    ? { ...heard, votedFor: request.candidate, lastLeaderContactMs: context.nowMs }
    : heard;
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
  /** The term of the request that this answers. */
  readonly term: number;
  readonly reply: VoteReply;
}

/** What a candidate becomes by an answer: with a majority of votes, a candidate proper after a pre-vote, a leader after a vote. */
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
