/** Proposals that are in the leader's log and don't have a result yet. */
import type { Entry } from "../../rpc/rpc-method.js";
import type { ProposalCallback } from "./proposal.js";

/** The proposals of one leadership by the indices of their entries. */
export class PendingProposals {
  private byIndex = new Map<number, { term: number; respond: ProposalCallback }>();

  /** Registers the proposal whose entry was appended at an index in a term. */
  add(index: number, term: number, respond: ProposalCallback): void {
    this.byIndex.set(index, { term, respond });
  }

  /** Reports the outcome of an applied entry to the proposal at its index, if any; unknown if the entry has another term. */
  complete(entry: Entry, outcome: string): void {
    const pending = this.byIndex.get(entry.index);
    this.byIndex.delete(entry.index);
    pending?.respond(
      pending.term === entry.term
        ? { kind: "committed", index: entry.index, outcome }
        : { kind: "unknown" },
    );
  }

  /** Reports an unknown result to all proposals. */
  abandon(): void {
    for (const { respond } of this.byIndex.values()) respond({ kind: "unknown" });
    this.clear();
  }

  /** Removes all proposals without reporting a result. */
  clear(): void {
    this.byIndex = new Map();
  }
}
