/** The consensus state of one member, and what its decisions read. */
import type { Entry } from "../rpc/rpc-method.js";
import type { MemberStage } from "./member-rights.js";
import { type Members, parseMembersEntry } from "./members.js";
import { ReplicatedLog } from "./replicated-log.js";
import type { SafetyRules } from "./safety-rules.js";

/** The role of a member. */
export type Role = "follower" | "preCandidate" | "candidate" | "leader";

/** All that decisions know about one member. A value never changes; decisions return a new one. */
export interface ConsensusState {
  readonly self: string;
  readonly role: Role;
  readonly term: number;
  /** For whom this member voted in this term, or an empty text. */
  readonly votedFor: string;
  readonly log: ReplicatedLog;
  /** The members as of the log's base. */
  readonly baseMembers: Members;
  /** The members as of the log's end: a change counts from when it is in the log. */
  readonly members: Members;
  readonly membersIndex: number;
  readonly committedIndex: number;
  /** Up to where the log is known to be on disk. */
  readonly syncedIndex: number;
  /** How often the log was truncated or replaced; distinguishes writes that began before from those after. */
  readonly truncations: number;
  /** The nonce whose marker must be committed before this member counts again after its disk was lost, or an empty text. */
  readonly rejoinNonce: string;
  readonly knownLeader: string;
  /** When this member last had contact with a leader, voted or started. */
  readonly lastLeaderContactMs: number;
  /** When a leader last sent this member entries, a heartbeat or a snapshot, or this one led. */
  readonly lastAppendMs: number;
  /** Who voted for this member in the election under way. */
  readonly votes: ReadonlySet<string>;
  /** Whether the former leader transferred the leadership. */
  readonly isLeadershipTransfer: boolean;
  /** The first entry of this leader's own term. */
  readonly leadingSinceIndex: number;
  /** Up to where each other member has acknowledged this leader's log. */
  readonly matchIndexes: ReadonlyMap<string, number>;
  /** When the newest heartbeat that each other member acknowledged was sent. */
  readonly acknowledgedSentMs: ReadonlyMap<string, number>;
  /** Since when each other member has acknowledged this leader's requests, without having lost its disk meanwhile. */
  readonly responsiveSinceMs: ReadonlyMap<string, number>;
}

/** The durations that control elections, on a monotonic clock. */
export interface ElectionTimeouts {
  readonly heartbeatMs: number;
  readonly electionMinMs: number;
  readonly electionMaxMs: number;
  /** How long a majority's acknowledgment lets the leader serve; shorter than the shortest election timeout. */
  readonly leaderLeaseMs: number;
}

/** What a decision may know beside the state. */
export interface DecisionContext {
  readonly nowMs: number;
  readonly timeouts: ElectionTimeouts;
  readonly rules: SafetyRules;
  /** How far this member's own storage is part of a formed log. */
  readonly stage: MemberStage;
  /** Whether the process is about to end, so that what this member acknowledges can't be counted on. */
  readonly isRetired: boolean;
  /** Whether the disk accepts writes, and they don't wait too long. */
  readonly isDiskHealthy: boolean;
}

/** What a member that has just started knows from its disk. */
export interface PersistedConsensusState {
  readonly term: number;
  readonly votedFor: string;
  readonly rejoinNonce: string;
  readonly lastIndex: number;
  readonly lastTerm: number;
  readonly members: Members;
  readonly entries: readonly Entry[];
}

const NO_MEMBERS: Members = { voters: [], learners: [] };

/** The state with the members that its log sets. */
export const withMembersFromLog = (state: ConsensusState): ConsensusState => {
  const { log, baseMembers } = state;
  return withMembersFromEntries(
    { ...state, members: baseMembers, membersIndex: log.baseIndex },
    log.entriesFrom(log.baseIndex + 1),
  );
};

/** The state with the members that entries added at the log's end set. */
export const withMembersFromEntries = (
  state: ConsensusState,
  entries: readonly Entry[],
): ConsensusState => {
  let { members, membersIndex } = state;
  for (const entry of entries) {
    const set = parseMembersEntry(entry.text);
    if (set === undefined) continue;
    members = set;
    membersIndex = entry.index;
  }
  return membersIndex === state.membersIndex ? state : { ...state, members, membersIndex };
};

/** The members as of an index of the log. */
export const membersAt = ({ log, baseMembers }: ConsensusState, index: number): Members => {
  let members = baseMembers;
  for (const entry of log.entriesFrom(log.baseIndex + 1, index - log.baseIndex))
    members = parseMembersEntry(entry.text) ?? members;
  return members;
};

/** A member that knows nothing yet. */
export const initialState = (self: string, nowMs: number): ConsensusState => ({
  self,
  role: "follower",
  term: 0,
  votedFor: "",
  log: ReplicatedLog.of(0, 0),
  baseMembers: NO_MEMBERS,
  members: NO_MEMBERS,
  membersIndex: 0,
  committedIndex: 0,
  syncedIndex: 0,
  truncations: 0,
  rejoinNonce: "",
  knownLeader: "",
  lastLeaderContactMs: nowMs,
  lastAppendMs: nowMs,
  votes: new Set(),
  isLeadershipTransfer: false,
  leadingSinceIndex: 0,
  matchIndexes: new Map(),
  acknowledgedSentMs: new Map(),
  responsiveSinceMs: new Map(),
});

/** The state after a start, a formation or a rejoin, from what is on disk. */
export const restoredState = (
  state: ConsensusState,
  persisted: PersistedConsensusState,
): ConsensusState => {
  const log = ReplicatedLog.of(persisted.lastIndex, persisted.lastTerm, persisted.entries);
  return withMembersFromLog({
    ...state,
    term: persisted.term,
    votedFor: persisted.votedFor,
    rejoinNonce: persisted.rejoinNonce,
    log,
    baseMembers: persisted.members,
    committedIndex: persisted.lastIndex,
    syncedIndex: log.lastIndex,
  });
};

/** The state of a restarted member, which may have had contact with a leader right before it ended. */
export const stateAfterRestart = (
  state: ConsensusState,
  context: DecisionContext,
): ConsensusState => ({
  ...state,
  lastAppendMs: context.nowMs,
  lastLeaderContactMs: context.rules.waitBeforeVotingAfterRestart
    ? context.nowMs
    : Number.NEGATIVE_INFINITY,
});
