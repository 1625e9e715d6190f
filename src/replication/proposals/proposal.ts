/** Proposals to the replicated log, and their results. */

/** The result of a proposal: committed and applied on this node, rejected because this node isn't the leader, or unknown. */
export type ProposalResult =
  | { readonly kind: "committed"; readonly index: number; readonly outcome: string }
  | { readonly kind: "notLeader" }
  | { readonly kind: "unknown" };

/** Called once with the result of a proposal. */
export type ProposalCallback = (result: ProposalResult) => void;

/** The text of an entry to append to the leader's log. */
export interface Proposal {
  readonly text: string;
  readonly respond: ProposalCallback;
}
