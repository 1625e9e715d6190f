/** The effects that a member executes once a write is on disk. */
import type { PendingAcknowledgment } from "../consensus/append.js";
import type { VoteReply, VoteRequest } from "../consensus/vote.js";
import type { DiskContent } from "./model-disk.js";

/** The effect of a completed write. */
export type WriteEffect =
  | {
      readonly kind: "replyVote";
      readonly to: string;
      readonly requestId: string;
      readonly reply: VoteReply;
    }
  | {
      readonly kind: "acknowledgeAppend";
      readonly to: string;
      readonly requestId: string;
      readonly pending: PendingAcknowledgment;
    }
  | {
      readonly kind: "acknowledgeSnapshot";
      readonly to: string;
      readonly requestId: string;
      readonly pending: PendingAcknowledgment;
      /** The last index in the member's log, which may be after the snapshot's. */
      readonly lastIndex: number;
    }
  | { readonly kind: "ownEntries"; readonly term: number; readonly index: number }
  | { readonly kind: "requestVotes"; readonly request: VoteRequest }
  | { readonly kind: "beginRejoin"; readonly content: DiskContent }
  | { readonly kind: "rejoined" }
  | { readonly kind: "none" };
