import type { AppendReply, AppendRequest } from "../consensus/append.js";
import type { SnapshotOffer, SnapshotReply } from "../consensus/snapshot.js";
import type { VoteReply, VoteRequest } from "../consensus/vote.js";
import type { Members } from "../consensus/members.js";

/** A snapshot on its way: which one, the members in it, and the register's value. */
export interface SnapshotRequest extends SnapshotOffer {
  readonly members: Members;
  readonly value: number;
}

/** What a member asks of another. */
export type ModelRequest =
  | { readonly kind: "vote"; readonly request: VoteRequest }
  | { readonly kind: "append"; readonly request: AppendRequest }
  | { readonly kind: "snapshot"; readonly request: SnapshotRequest }
  | { readonly kind: "handOver"; readonly term: number }
  | { readonly kind: "rejoin"; readonly machine: string; readonly nonce: string };

/** What comes back. */
export type ModelReply =
  | { readonly kind: "vote"; readonly reply: VoteReply }
  | { readonly kind: "append"; readonly reply: AppendReply }
  | { readonly kind: "snapshot"; readonly reply: SnapshotReply };

/** A request or a reply between two members; replies name the request that they answer. */
export interface Message {
  /** Names the message in a trace: from, to, kind, and its number among those. */
  readonly id: string;
  readonly from: string;
  readonly to: string;
  readonly requestId: string;
  readonly body:
    | { readonly direction: "request"; readonly request: ModelRequest }
    | { readonly direction: "reply"; readonly reply: ModelReply };
}
