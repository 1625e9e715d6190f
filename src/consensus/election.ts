/** How a member campaigns: pre-votes, elections and transfers of the leadership. */
import type { LogRecord } from "./log-record.js";
import { currentMemberRights } from "./rights.js";
import type { ConsensusState, DecisionContext } from "./state.js";
import type { VoteRequest } from "./vote.js";

/** The state of a member that had no contact with a leader for its election timeout: it campaigns, where it may. */
export const onElectionTimeout = (
  state: ConsensusState,
  context: DecisionContext,
): ConsensusState => ({
  ...state,
  knownLeader: "",
  role: currentMemberRights(state, context).campaign ? "preCandidate" : state.role,
});

const createVoteRequest = (
  state: ConsensusState,
  term: number,
  isPreVote: boolean,
  handOver: boolean,
): VoteRequest => ({
  isPreVote,
  term,
  candidate: state.self,
  lastIndex: state.log.lastIndex,
  lastTerm: state.log.lastTerm,
  handOver,
});

/** Begins a pre-vote, without a new term: a member that was partitioned must not depose a leader when it returns. */
export const startPreVote = (
  state: ConsensusState,
): { readonly state: ConsensusState; readonly request: VoteRequest } => ({
  state: { ...state, votes: new Set(), isLeadershipTransfer: false },
  request: createVoteRequest(state, state.term + 1, true, false),
});

/** A candidate's new term and vote for itself; the request is sent once the records are on disk. */
export interface Election {
  readonly state: ConsensusState;
  readonly records: readonly LogRecord[];
  readonly request: VoteRequest;
}

/** Begins an election in a new term. */
export const startElection = (former: ConsensusState): Election => {
  const term = former.term + 1;
  const state: ConsensusState = {
    ...former,
    term,
    votedFor: former.self,
    votes: new Set(),
    knownLeader: "",
    isLeadershipTransfer: false,
  };
  return {
    state,
    records: [{ kind: "vote", term, text: state.self }],
    request: createVoteRequest(state, term, false, former.isLeadershipTransfer),
  };
};

/** Whether a candidate whose own vote is on disk by now still campaigns in that term. */
export const isStillCampaigning = (state: ConsensusState, term: number): boolean =>
  state.role === "candidate" && state.term === term;

/** The state after an election without a majority in its time: the member follows again, and may vote at once. */
export const abandonElection = (
  state: ConsensusState,
  { nowMs, timeouts }: DecisionContext,
): ConsensusState => ({
  ...state,
  role: "follower",
  lastLeaderContactMs: nowMs - timeouts.electionMinMs,
});

/** The state of a member that accepts the leadership that its leader transfers; `undefined` where it can't. */
export const acceptLeadershipTransfer = (
  state: ConsensusState,
  term: number,
  context: DecisionContext,
): ConsensusState | undefined =>
  term === state.term && state.role === "follower" && currentMemberRights(state, context).campaign
    ? { ...state, role: "candidate", isLeadershipTransfer: true }
    : undefined;
