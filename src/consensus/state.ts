/** The consensus state of one member, and the other inputs of its decisions. */
import type { Entry } from "../rpc/rpc-method.js";
import type { MemberStage } from "./member-rights.js";
import { type Members, parseMembersEntry } from "./members.js";
import { ReplicatedLog } from "./replicated-log.js";
import type { SafetyRules } from "./safety-rules.js";

/** The role of a member. */
export type Role = "follower" | "preCandidate" | "candidate" | "leader";

/** The immutable consensus state of one member; decisions return a new state. */
export interface ConsensusState {
  readonly self: string;
  readonly role: Role;
  readonly term: number;
  /** The candidate for which this member voted in this term, or an empty text. */
  readonly votedFor: string;
  readonly log: ReplicatedLog;
  /** The members as of the log's base. */
  readonly baseMembers: Members;
  /** The members as of the log's end: a change takes effect as soon as it is in the log. */
  readonly members: Members;
  /** The index of the entry that set `members`, or the log's base. */
  readonly membersIndex: number;
  readonly committedIndex: number;
  /** The index up to which the log is known to be on disk. */
  readonly syncedIndex: number;
  /** How often the log was truncated or replaced; identifies writes that began before such a change. */
  readonly truncations: number;
  /** The nonce of the rejoin under way, whose marker must be committed before this member counts again; empty if none is. */
  readonly rejoinNonce: string;
  /** The leader of this term, or an empty text while it is unknown. */
  readonly knownLeader: string;
  /** When this member last had contact with a leader, voted or started. */
  readonly lastLeaderContactMs: number;
  /** When a leader last sent this member entries, a heartbeat or a snapshot, or this one led. */
  readonly lastAppendMs: number;
  /** The voters that granted their vote to this member in the election under way. */
  readonly votes: ReadonlySet<string>;
  /** Whether this member campaigns because the previous leader transfers the leadership to it. */
  readonly isLeadershipTransfer: boolean;
  /** The index of the first entry of this leader's own term. */
  readonly leadingSinceIndex: number;
  /** The index up to which each other member has acknowledged this leader's log. */
  readonly matchIndexes: ReadonlyMap<string, number>;
  /** When the newest heartbeat that each other member acknowledged was sent. */
  readonly acknowledgedSentMs: ReadonlyMap<string, number>;
  /** The time from which each other member has acknowledged this leader's requests without a rejoin in between. */
  readonly responsiveSinceMs: ReadonlyMap<string, number>;
}

/** The durations that control elections, on a monotonic clock. */
export interface ElectionTimeouts {
  readonly heartbeatMs: number;
  readonly electionMinMs: number;
  readonly electionMaxMs: number;
  /** How long the leader may serve after a majority's acknowledgment; shorter than `electionMinMs`. */
  readonly leaderLeaseMs: number;
}

/** The inputs of a decision other than the state and the request. */
export interface DecisionContext {
  readonly nowMs: number;
  readonly timeouts: ElectionTimeouts;
  readonly rules: SafetyRules;
  /** The state of this member's storage. */
  readonly stage: MemberStage;
  /** Whether the process is shutting down, so that a majority must not rely on what this member acknowledges. */
  readonly isRetired: boolean;
  /** Whether the disk accepts writes, and no write has been waiting for longer than the limit. */
  readonly isDiskHealthy: boolean;
}

/** The consensus state that a member reads from its disk after a start. */
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

/** The state with its members derived anew from the whole log. */
export const withMembersFromLog = (state: ConsensusState): ConsensusState => {
  const { log, baseMembers } = state;
  return withMembersFromEntries(
    { ...state, members: baseMembers, membersIndex: log.baseIndex },
    log.entriesFrom(log.baseIndex + 1),
  );
};

/** The state with its members updated by entries that were added at the log's end. */
export const withMembersFromEntries = (
  state: ConsensusState,
  entries: readonly Entry[],
): ConsensusState => {
  let { members, membersIndex } = state;
  for (const entry of entries) {
    const newMembers = parseMembersEntry(entry.text);
    if (newMembers === undefined) continue;
    members = newMembers;
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

/** The state of a member before it reads its disk. */
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

/** The state after a start, a formation or a rejoin, restored from the disk. */
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

/** The state of a restarted member, which may have had contact with a leader right before it stopped. */
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
