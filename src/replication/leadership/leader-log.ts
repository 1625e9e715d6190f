/** Appends entries to the leader's own log and starts their replication. */
import { appendAsLeader } from "../../consensus/leadership.js";
import type { ConsensusOwner } from "../consensus-owner.js";
import type { LogWriter } from "../log/log-writer.js";
import type { NodeEventSink } from "../node-event.js";
import type { PendingProposals } from "../proposals/pending-proposals.js";
import type { ProposalCallback } from "../proposals/proposal.js";

/** The dependencies of a leader's log. */
export interface LeaderLogOptions {
  readonly consensus: ConsensusOwner;
  readonly events: NodeEventSink;
  readonly writer: LogWriter;
  readonly pending: PendingProposals;
  /** Sends the new entries to the other members without waiting for the next heartbeat. */
  readonly replicate: () => void;
}

/** Appends proposals and membership changes to the log of a leader. */
export class LeaderLog {
  private readonly options: LeaderLogOptions;

  constructor(options: LeaderLogOptions) {
    this.options = options;
  }

  /** Appends one entry for each text; the callback at the same position receives the entry's result. */
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
