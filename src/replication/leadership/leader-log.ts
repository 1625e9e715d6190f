/** Appends entries to the leader's own log and starts their replication. */
import { appendAsLeader } from "../../consensus/leadership.js";
import type { ConsensusOwner } from "../consensus-owner.js";
import type { LogWriter } from "../log/log-writer.js";
import type { NodeEventSink } from "../node-event.js";
import type { PendingProposals } from "../proposals/pending-proposals.js";
import type { ProposalCallback } from "../proposals/proposal.js";

/** What a leader's log works with. */
export interface LeaderLogOptions {
  readonly consensus: ConsensusOwner;
  readonly events: NodeEventSink;
  readonly writer: LogWriter;
  readonly pending: PendingProposals;
  /** Has the entries sent to the other members now. */
  readonly replicate: () => void;
}

/** The log of a leader, as its proposals and membership changes use it. */
export class LeaderLog {
  private readonly options: LeaderLogOptions;

  constructor(options: LeaderLogOptions) {
    this.options = options;
  }

  /** Appends entries; the callback at the index of a text receives the result of its entry. */
  append(texts: readonly string[], callbacks: readonly ProposalCallback[] = []): void {
    const { consensus, events, writer, pending, replicate } = this.options;
    const { state, entries, records } = appendAsLeader(consensus.current, texts);
    consensus.update(state);
    const { term, log } = state;
    for (const [position, { index }] of entries.entries()) {
      const respond = callbacks[position];
      if (respond) pending.add(index, term, respond);
    }
    writer.append([...records], () =>
      events.put({ kind: "ownEntriesSynced", term, index: log.lastIndex }),
    );
    replicate();
  }
}
