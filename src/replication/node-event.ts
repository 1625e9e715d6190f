/** The events that a replication node's event loop processes one at a time. */
import type { Acknowledgment } from "../consensus/commit.js";
import type { AppendReply, AppendRequest } from "../consensus/append.js";
import type { ReceivedVote, VoteReply, VoteRequest } from "../consensus/vote.js";
import type { DecodedMessage } from "../rpc/rpc-endpoint.js";
import type { rpcMethods } from "../rpc/rpc-method.js";
import type { Queue } from "../runtime/queue.js";
import type { LeaveStatus } from "./membership/membership-leave.js";
import type { Proposal } from "./proposals/proposal.js";

/** A complete snapshot in one message. */
export type SnapshotRequest = DecodedMessage<typeof rpcMethods.snapshot.request>;

/** The reply to a complete snapshot. */
export type SnapshotResponse = DecodedMessage<typeof rpcMethods.snapshot.response>;

/** One piece of a snapshot. */
export type SnapshotPieceRequest = DecodedMessage<typeof rpcMethods.snapshotPiece.request>;

/** The reply to a piece of a snapshot. */
export type SnapshotPieceResponse = DecodedMessage<typeof rpcMethods.snapshotPiece.response>;

/** A request to the leader to add a machine as a learner. */
export interface LearnerRequest {
  readonly machine: string;
  /** Called with whether the machine is a member. */
  readonly respond: (isMember: boolean) => void;
}

/** Events of the log's replication; `respond` is called with the result of a request. */
export type ReplicationEvent =
  | {
      readonly kind: "voteRequested";
      readonly request: VoteRequest;
      readonly respond: (reply: VoteReply) => void;
    }
  | { readonly kind: "voteReceived"; readonly received: ReceivedVote }
  | {
      readonly kind: "appendRequested";
      readonly request: AppendRequest;
      readonly respond: (reply: AppendReply) => void;
    }
  | {
      readonly kind: "snapshotReceived";
      readonly request: SnapshotRequest;
      readonly respond: (reply: SnapshotResponse) => void;
    }
  | {
      readonly kind: "snapshotPieceReceived";
      readonly request: SnapshotPieceRequest;
      readonly respond: (reply: SnapshotPieceResponse) => void;
    }
  | { readonly kind: "acknowledged"; readonly acknowledgment: Acknowledgment }
  | { readonly kind: "ownEntriesSynced"; readonly term: number; readonly index: number }
  | { readonly kind: "proposed"; readonly proposal: Proposal }
  | { readonly kind: "proposalBatchDue" }
  | { readonly kind: "learnerRequested"; readonly learner: LearnerRequest };

/** Events that change a member's role or follow a write to its disk. */
export type LifecycleEvent =
  | { readonly kind: "newerTermSeen"; readonly term: number }
  | {
      readonly kind: "leadershipOffered";
      readonly term: number;
      readonly respond: (isAccepted: boolean) => void;
    }
  | { readonly kind: "leadershipYielded"; readonly respond: (isDone: true) => void }
  | {
      readonly kind: "memberStopping";
      readonly machine: string;
      readonly lastIndex: number;
      readonly respond: (status: LeaveStatus | undefined) => void;
    }
  | { readonly kind: "rejoinPersisted" }
  | { readonly kind: "configsReleased"; readonly upToSequence: number };

/** One event of a replication node. */
export type NodeEvent = ReplicationEvent | LifecycleEvent;

/** The input queue of a node's event loop. */
export type NodeEventQueue = Queue<NodeEvent>;

/** The part of the queue that components use to add events. */
export type NodeEventSink = Pick<NodeEventQueue, "put">;
