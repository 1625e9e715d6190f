import type { Entry } from "../rpc/rpc-method.js";
import type { LogRecord } from "./log-record.js";
import { leaseUntilMs } from "./lease.js";
import { withMembersFromEntries, type ConsensusState, type DecisionContext } from "./state.js";

/** Whether this member leads in a term. */
export const isLeading = (state: ConsensusState, term: number): boolean =>
  state.role === "leader" && state.term === term;

/** The state of a member that was just elected. */
export const becomeLeader = (state: ConsensusState): ConsensusState => ({
  ...state,
  knownLeader: state.self,
  matchIndexes: new Map(),
  acknowledgedSentMs: new Map(),
  responsiveSinceMs: new Map(),
  leadingSinceIndex: state.log.lastIndex + 1,
});

/** The entry with which a leader begins its term: once it is committed, all before it are. */
export const leadershipEntryText = (state: ConsensusState): string =>
  JSON.stringify({ kind: "leads", machine: state.self, term: state.term });

/** A leader's new entries, which are to be written and sent. */
export interface LeaderAppend {
  readonly state: ConsensusState;
  readonly entries: readonly Entry[];
  readonly records: readonly LogRecord[];
}

/** Adds entries to a leader's own log. */
export const appendAsLeader = (former: ConsensusState, texts: readonly string[]): LeaderAppend => {
  const { term, log } = former;
  const first = log.lastIndex + 1;
  const entries = texts.map((text, at) => ({ index: first + at, term, text }));
  const state = withMembersFromEntries({ ...former, log: log.withEntries(entries) }, entries);
  return { state, entries, records: entries.map((entry) => ({ kind: "entry", ...entry })) };
};

/** Why a leader must step down now, if it must. */
export const stepDownReason = (
  state: ConsensusState,
  leadingSinceMs: number,
  context: DecisionContext,
): "notVoter" | "noContact" | undefined => {
  if (!state.members.voters.includes(state.self) && state.committedIndex >= state.membersIndex)
    return "notVoter";
  const contactMs = Math.max(leaseUntilMs(state, context), leadingSinceMs);
  return context.nowMs > contactMs + 2 * context.timeouts.electionMaxMs ? "noContact" : undefined;
};

/**
 * To whom a leader hands over: of the voters that have acknowledged anything, one that stays before one that is about to stop,
 * then the one whose log is the furthest.
 */
export const selectTransferTarget = (
  state: ConsensusState,
  leaving: ReadonlySet<string> = new Set(),
): string | undefined => {
  const lag = (voter: string): number =>
    leaving.has(voter) ? Infinity : state.log.lastIndex - (state.matchIndexes.get(voter) ?? 0);
  return state.members.voters
    .filter((voter) => voter !== state.self && state.acknowledgedSentMs.has(voter))
    .sort((a, b) => (lag(a) < lag(b) ? -1 : 1))[0];
};
