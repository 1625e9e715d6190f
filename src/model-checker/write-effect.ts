/** What a member does once one of its writes is on disk. */
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
      /** The last index that the member has, beyond the snapshot. */
      readonly lastIndex: number;
    }
  | { readonly kind: "ownEntries"; readonly term: number; readonly index: number }
  | { readonly kind: "requestVotes"; readonly request: VoteRequest }
  | { readonly kind: "beginRejoin"; readonly content: DiskContent }
  | { readonly kind: "rejoined" }
  | { readonly kind: "none" };
