/** How a member accepts a leader's entries and acknowledges them. */
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

/** Entries from a leader, or none as a heartbeat. */
export type AppendRequest = DecodedMessage<typeof rpcMethods.append.request>;

/** The reply to entries or a heartbeat. */
export type AppendReply = DecodedMessage<typeof rpcMethods.append.response>;

/** What is to be acknowledged once it is on disk, and the term and log for which that is valid. */
export interface PendingAcknowledgment {
  readonly term: number;
  readonly truncations: number;
  readonly counts: boolean;
  readonly matched: number;
}

/** The decision on entries: refuse at once, or write the records and acknowledge after the sync. */
export type AppendDecision =
  | { readonly kind: "refuse"; readonly state: ConsensusState; readonly reply: AppendReply }
  | {
      readonly kind: "accept";
      readonly state: ConsensusState;
      readonly records: readonly LogRecord[];
      /** Whether something of what is acknowledged is not on disk yet. */
      readonly mustSync: boolean;
      readonly pending: PendingAcknowledgment;
    };

const createRefusal = (term: number): AppendReply => ({
  term,
  fits: false,
  counts: false,
  matched: 0,
});

/** Adds a leader's entries to the log; conflicting entries are truncated first. */
const mergeEntries = (
  former: ConsensusState,
  entries: readonly Entry[],
  { rules }: DecisionContext,
): { state: ConsensusState; records: LogRecord[] } => {
  let state = former;
  const records: LogRecord[] = [];
  for (const entry of entries) {
    if (entry.index <= state.log.baseIndex) continue;
    const known = state.log.termAt(entry.index);
    if (known === entry.term) continue;
    if (known !== undefined) {
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

/** Decides which entries of a leader this member accepts. */
export const decideAppend = (
  former: ConsensusState,
  request: AppendRequest,
  context: DecisionContext,
): AppendDecision => {
  const { rules } = context;
  if (request.term < former.term && rules.refuseOldTerms)
    return { kind: "refuse", state: former, reply: createRefusal(former.term) };
  const newTerm: LogRecord[] =
    request.term > former.term ? [{ kind: "vote", term: request.term, text: "" }] : [];
  const following = becomeFollower(former, request.term, request.leader, context.nowMs);
  const { term, log } = following;
  const isKnown =
    request.previousIndex < log.baseIndex ||
    (rules.checkPreviousTerm
      ? log.termAt(request.previousIndex) === request.previousTerm
      : request.previousIndex <= log.lastIndex);
  if (!isKnown) {
    const matched = Math.min(log.lastIndex, request.previousIndex - 1);
    return { kind: "refuse", state: following, reply: { ...createRefusal(term), matched } };
  }
  const { state, records } = mergeEntries(following, request.entries, context);
  const matched = Math.max(
    request.previousIndex,
    state.log.baseIndex,
    request.entries.at(-1)?.index ?? 0,
  );
  const allRecords = [...newTerm, ...records];
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

/** Whether what was written under a term and a log is still valid under the present ones. */
export const canStillAcknowledge = (
  state: ConsensusState,
  pending: PendingAcknowledgment,
  { rules }: Pick<DecisionContext, "rules">,
): boolean =>
  !rules.acknowledgeOnlyUnderSameTerm ||
  (state.term === pending.term && state.truncations === pending.truncations);

/** Acknowledges entries that are on disk, unless the term or the log moved on meanwhile. */
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
