/** The messages between members of a model-checked group. */
import type { AppendReply, AppendRequest } from "../consensus/append.js";
import type { SnapshotOffer, SnapshotReply } from "../consensus/snapshot.js";
import type { VoteReply, VoteRequest } from "../consensus/vote.js";
import type { Members } from "../consensus/members.js";

/** A snapshot in transfer: its identity, the members in it, and the register's value. */
export interface SnapshotRequest extends SnapshotOffer {
  readonly members: Members;
  readonly value: number;
}

/** A request from one member to another. */
export type ModelRequest =
  | { readonly kind: "vote"; readonly request: VoteRequest }
  | { readonly kind: "append"; readonly request: AppendRequest }
  | { readonly kind: "snapshot"; readonly request: SnapshotRequest }
  | { readonly kind: "handOver"; readonly term: number }
  | { readonly kind: "rejoin"; readonly machine: string; readonly nonce: string };

/** The reply to a request; requests of the other kinds have none. */
export type ModelReply =
  | { readonly kind: "vote"; readonly reply: VoteReply }
  | { readonly kind: "append"; readonly reply: AppendReply }
  | { readonly kind: "snapshot"; readonly reply: SnapshotReply };

/** A request or a reply between two members; a reply has the id of its request. */
export interface Message {
  /** Identifies the message in a trace: sender, receiver, kind, and a sequence number among these. */
  readonly id: string;
  readonly from: string;
  readonly to: string;
  readonly requestId: string;
  readonly body:
    | { readonly direction: "request"; readonly request: ModelRequest }
    | { readonly direction: "reply"; readonly reply: ModelReply };
}
