/** How a member accepts a leader's snapshot, and compacts its log behind one. */
import type { Entry } from "../rpc/rpc-method.js";
import type { Members } from "./members.js";
import { canStillAcknowledge, type PendingAcknowledgment } from "./append.js";
import { becomeFollower } from "./follow.js";
import { ReplicatedLog } from "./replicated-log.js";
import { currentMemberRights } from "./rights.js";
import {
  membersAt,
  withMembersFromLog,
  type ConsensusState,
  type DecisionContext,
} from "./state.js";

/** Which snapshot a leader offers. */
export interface SnapshotOffer {
  readonly term: number;
  readonly leader: string;
  readonly lastIndex: number;
  readonly lastTerm: number;
}

/** The reply to a snapshot. */
export interface SnapshotReply {
  readonly term: number;
  readonly counts: boolean;
  readonly matched: number;
}

/** The decision on a snapshot: reply at once, or install it and acknowledge after the sync. */
export type SnapshotDecision =
  | { readonly kind: "reply"; readonly state: ConsensusState; readonly reply: SnapshotReply }
  | {
      readonly kind: "install";
      /** The state before the snapshot is installed. */
      readonly state: ConsensusState;
      readonly counts: boolean;
      /** The entries after the snapshot that stay. */
      readonly entries: readonly Entry[];
    };

/** Decides whether a member installs a leader's snapshot. */
export const decideSnapshot = (
  former: ConsensusState,
  offer: SnapshotOffer,
  context: DecisionContext,
): SnapshotDecision => {
  if (offer.term < former.term && context.rules.refuseOldTerms) {
    const reply = { term: former.term, counts: false, matched: 0 };
    return { kind: "reply", state: former, reply };
  }
  const state = becomeFollower(former, offer.term, offer.leader, context.nowMs);
  const counts = currentMemberRights(state, context).countForCommit;
  if (offer.lastIndex <= state.committedIndex) {
    const reply = { term: state.term, counts, matched: state.committedIndex };
    return { kind: "reply", state, reply };
  }
  const fits = state.log.termAt(offer.lastIndex) === offer.lastTerm;
  const entries = fits ? state.log.entriesFrom(offer.lastIndex + 1) : [];
  return { kind: "install", state, counts, entries };
};

/** The state with a snapshot in it, of which nothing is on disk yet. */
export const installSnapshot = (
  state: ConsensusState,
  { lastIndex, lastTerm }: SnapshotOffer,
  members: Members,
  entries: readonly Entry[],
): ConsensusState =>
  withMembersFromLog({
    ...state,
    log: ReplicatedLog.of(lastIndex, lastTerm, entries),
    baseMembers: members,
    committedIndex: lastIndex,
    syncedIndex: 0,
    truncations: state.truncations + 1,
  });

/** Acknowledges a snapshot that is on disk, unless the term or the log moved on meanwhile. */
export const acknowledgeSnapshot = (
  state: ConsensusState,
  pending: PendingAcknowledgment,
  syncedIndex: number,
  context: Pick<DecisionContext, "rules">,
): { readonly state: ConsensusState; readonly reply: SnapshotReply } => {
  const { term, counts, matched } = pending;
  if (!canStillAcknowledge(state, pending, context))
    return { state, reply: { term: state.term, counts: false, matched: 0 } };
  return {
    state: { ...state, syncedIndex: Math.max(state.syncedIndex, syncedIndex) },
    reply: { term, counts, matched },
  };
};

/** The state with its log's base moved up to an index that is in a snapshot on disk. */
export const compactLog = (state: ConsensusState, index: number): ConsensusState => ({
  ...state,
  log: state.log.compactedTo(index),
  baseMembers: membersAt(state, index),
});
