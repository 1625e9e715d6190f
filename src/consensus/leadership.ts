/** How a member begins to lead, appends entries, and decides when and to whom to pass the leadership. */
import type { Entry } from "../rpc/rpc-method.js";
import type { LogRecord } from "./log-record.js";
import { leaseUntilMs } from "./lease.js";
import { withMembersFromEntries, type ConsensusState, type DecisionContext } from "./state.js";

/** Whether this member leads in a term. */
export const isLeading = (state: ConsensusState, term: number): boolean =>
  state.role === "leader" && state.term === term;

/** The state of a member that has just been elected leader. */
export const becomeLeader = (state: ConsensusState): ConsensusState => ({
  ...state,
  knownLeader: state.self,
  matchIndexes: new Map(),
  acknowledgedSentMs: new Map(),
  responsiveSinceMs: new Map(),
  leadingSinceIndex: state.log.lastIndex + 1,
});

/** The text of the first entry of a leader's term, whose commit also commits all entries before it. */
export const leadershipEntryText = (state: ConsensusState): string =>
  JSON.stringify({ kind: "leads", machine: state.self, term: state.term });

/** A leader's new entries, to be written to its disk and sent to its peers. */
export interface LeaderAppend {
  readonly state: ConsensusState;
  readonly entries: readonly Entry[];
  readonly records: readonly LogRecord[];
}

/** Appends entries with the given texts to a leader's own log. */
export const appendAsLeader = (
  previous: ConsensusState,
  texts: readonly string[],
): LeaderAppend => {
  const { term, log } = previous;
  const firstIndex = log.lastIndex + 1;
  const entries = texts.map((text, offset) => ({ index: firstIndex + offset, term, text }));
  const state = withMembersFromEntries({ ...previous, log: log.withEntries(entries) }, entries);
  return { state, entries, records: entries.map((entry) => ({ kind: "entry", ...entry })) };
};

/**
 * Why a leader must step down now, or `undefined` if it need not: its removal from the voters is committed, or more than two
 * maximum election timeouts have passed since its lease expired and since it was elected.
 */
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
 * Selects the voter to which a leader transfers the leadership, among those that have acknowledged a request of this leader.
 * Voters that aren't about to stop come first, then the voter whose log is the most up to date.
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
