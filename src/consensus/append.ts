/** The follower's side of log replication: accepts a leader's entries and acknowledges them. */
import type { DecodedMessage } from "../rpc/rpc-endpoint.js";
import type { Entry, rpcMethods } from "../rpc/rpc-method.js";
import type { LogRecord } from "./log-record.js";
import { commitUpTo } from "./commit.js";
import { becomeFollower } from "./follow.js";
import { currentMemberRights } from "./rights.js";
import {
  withMembersFromEntries,
  withMembersFromLog,
  type ConsensusState,
  type DecisionContext,
} from "./state.js";

/** A request that carries a leader's entries; a heartbeat carries none. */
export type AppendRequest = DecodedMessage<typeof rpcMethods.append.request>;

/** The reply to an append request. */
export type AppendReply = DecodedMessage<typeof rpcMethods.append.response>;

/** An acknowledgment to send once the entries are on disk, and the term and log for which it is valid. */
export interface PendingAcknowledgment {
  readonly term: number;
  /** The truncation count when the write began; a later count means that the log changed meanwhile. */
  readonly truncations: number;
  /** Whether the leader may count this member in a majority. */
  readonly counts: boolean;
  /** The index up to which this member's log matches the leader's. */
  readonly matched: number;
}

/** The decision on an append request: refuse at once, or write the records and acknowledge after the sync. */
export type AppendDecision =
  | { readonly kind: "refuse"; readonly state: ConsensusState; readonly reply: AppendReply }
  | {
      readonly kind: "accept";
      readonly state: ConsensusState;
      readonly records: readonly LogRecord[];
      /** Whether some of the acknowledged entries are not on disk yet. */
      readonly mustSync: boolean;
      readonly pending: PendingAcknowledgment;
    };

const createRefusal = (term: number): AppendReply => ({
  term,
  fits: false,
  counts: false,
  matched: 0,
});

/** Adds a leader's entries to the log, after truncating entries that conflict with them. */
const mergeEntries = (
  previous: ConsensusState,
  entries: readonly Entry[],
  { rules }: DecisionContext,
): { state: ConsensusState; records: LogRecord[] } => {
  let state = previous;
  const records: LogRecord[] = [];
  for (const entry of entries) {
    if (entry.index <= state.log.baseIndex) continue;
    const knownTerm = state.log.termAt(entry.index);
    if (knownTerm === entry.term) continue;
    if (knownTerm !== undefined) {
      if (!rules.truncateConflicts) continue;
      const log = state.log.truncatedFrom(entry.index);
      state = withMembersFromLog({
        ...state,
        log,
        syncedIndex: Math.min(state.syncedIndex, log.lastIndex),
        truncations: state.truncations + 1,
      });
      records.push({ kind: "truncate", index: entry.index });
    }
    state = withMembersFromEntries({ ...state, log: state.log.withEntries([entry]) }, [entry]);
    records.push({ kind: "entry", ...entry });
  }
  return { state, records };
};

/** Decides whether this member accepts the entries of an append request. */
export const decideAppend = (
  previous: ConsensusState,
  request: AppendRequest,
  context: DecisionContext,
): AppendDecision => {
  const { rules } = context;
  if (request.term < previous.term && rules.refuseOldTerms)
    return { kind: "refuse", state: previous, reply: createRefusal(previous.term) };
  const termRecords: LogRecord[] =
    request.term > previous.term ? [{ kind: "vote", term: request.term, text: "" }] : [];
  const following = becomeFollower(previous, request.term, request.leader, context.nowMs);
  const { term, log } = following;
  const hasPreviousEntry =
    request.previousIndex < log.baseIndex ||
    (rules.checkPreviousTerm
      ? log.termAt(request.previousIndex) === request.previousTerm
      : request.previousIndex <= log.lastIndex);
  if (!hasPreviousEntry) {
    const matched = Math.min(log.lastIndex, request.previousIndex - 1);
    return { kind: "refuse", state: following, reply: { ...createRefusal(term), matched } };
  }
  const { state, records } = mergeEntries(following, request.entries, context);
  const matched = Math.max(
    request.previousIndex,
    state.log.baseIndex,
    request.entries.at(-1)?.index ?? 0,
  );
  const allRecords = [...termRecords, ...records];
  return {
    kind: "accept",
    state: commitUpTo(state, Math.min(request.committed, matched)),
    records: allRecords,
    mustSync: allRecords.length > 0 || state.syncedIndex < matched,
    pending: {
      term,
      truncations: state.truncations,
      counts: currentMemberRights(following, context).countForCommit,
      matched,
    },
  };
};

/** Whether the term and the log are still those under which the pending write began. */
export const canStillAcknowledge = (
  state: ConsensusState,
  pending: PendingAcknowledgment,
  { rules }: Pick<DecisionContext, "rules">,
): boolean =>
  !rules.acknowledgeOnlyUnderSameTerm ||
  (state.term === pending.term && state.truncations === pending.truncations);

/** Acknowledges entries that are on disk, unless the term or the log changed since their write began. */
export const acknowledgeAppend = (
  state: ConsensusState,
  pending: PendingAcknowledgment,
  context: Pick<DecisionContext, "rules">,
): { readonly state: ConsensusState; readonly reply: AppendReply } => {
  const { term, counts, matched } = pending;
  if (!canStillAcknowledge(state, pending, context))
    return { state, reply: createRefusal(state.term) };
  return {
    state: { ...state, syncedIndex: Math.max(state.syncedIndex, matched) },
    reply: { term, fits: true, counts, matched },
  };
};
