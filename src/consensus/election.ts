import type { LogRecord } from "./log-record.js";
import { memberRightsOf } from "./rights.js";
import type { ConsensusState, DecisionContext } from "./state.js";
import type { VoteRequest } from "./vote.js";

/** What a member does that has heard no leader for its election wait: it stands, where it may. */
export const onElectionTimeout = (
  state: ConsensusState,
  context: DecisionContext,
): ConsensusState => ({
  ...state,
  knownLeader: "",
  role: memberRightsOf(state, context).stand ? "preCandidate" : state.role,
});

const voteRequestOf = (
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

/** Asks who would give its vote, without a new term: a member that was cut off must not unseat a leader by coming back. */
export const startPreVote = (
  state: ConsensusState,
): { readonly state: ConsensusState; readonly request: VoteRequest } => ({
  state: { ...state, votes: new Set(), isLeadershipTransfer: false },
  request: voteRequestOf(state, state.term + 1, true, false),
});

/** A candidate's new term and vote for itself; the request goes out once the records are on disk. */
export interface Election {
  readonly state: ConsensusState;
  readonly records: readonly LogRecord[];
  readonly request: VoteRequest;
}

/** Stands in a new term. */
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
    request: voteRequestOf(state, term, false, former.isLeadershipTransfer),
  };
};

/** Whether a candidate whose own vote is synced by now still stands in that term. */
export const isStillCampaigning = (state: ConsensusState, term: number): boolean =>
  state.role === "candidate" && state.term === term;

/** An election that brought no majority in its time: the member waits for its next turn, and may vote at once. */
export const abandonElection = (
  state: ConsensusState,
  { nowMs, timeouts: waits }: DecisionContext,
): ConsensusState => ({
  ...state,
  role: "follower",
  lastLeaderContactMs: nowMs - waits.electionMinMs,
});

/** Takes the lead that the leader of this term hands over, unless this member can't. */
export const acceptLeadershipTransfer = (
  state: ConsensusState,
  term: number,
  context: DecisionContext,
): ConsensusState | undefined =>
  term === state.term && state.role === "follower" && memberRightsOf(state, context).stand
    ? { ...state, role: "candidate", isLeadershipTransfer: true }
    : undefined;
