/** A command that is proposed to the replicated log, and its result. */

/** The result of a proposal: committed and applied here, refused by a node that doesn't lead, or unknown. */
export type ProposalResult =
  | { readonly kind: "committed"; readonly index: number; readonly outcome: string }
  | { readonly kind: "notLeader" }
  | { readonly kind: "unknown" };

/** Receives the result of a proposal, once. */
export type ProposalCallback = (result: ProposalResult) => void;

/** An entry's text that waits to be appended to the leader's log. */
export interface Proposal {
  readonly text: string;
  readonly respond: ProposalCallback;
}
