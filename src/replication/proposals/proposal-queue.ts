/** Collects proposals into batches, so that they share a write and a round of replication. */
import type { Clock } from "../../runtime/clock.js";
import type { ConsensusOwner } from "../consensus-owner.js";
import type { LeaderLog } from "../leadership/leader-log.js";
import type { NodeEventSink } from "../node-event.js";
import type { Proposal } from "./proposal.js";

/** Minimum interval between two batches of proposals, in ms. */
const BATCH_INTERVAL_MS = 8;

/** The dependencies of a proposal queue. */
export interface ProposalQueueOptions {
  readonly clock: Clock;
  readonly consensus: ConsensusOwner;
  readonly events: NodeEventSink;
  readonly leaderLog: LeaderLog;
}

/** Queues proposals until they are appended to the leader's log. */
export class ProposalQueue {
  private readonly clock: Clock;
  private readonly consensus: ConsensusOwner;
  private readonly events: NodeEventSink;
  private readonly leaderLog: LeaderLog;
  private readonly waiting: Proposal[] = [];
  private lastBatchMs = -Infinity;
  private isBatchScheduled = false;

  constructor({ clock, consensus, events, leaderLog }: ProposalQueueOptions) {
    this.clock = clock;
    this.consensus = consensus;
    this.events = events;
    this.leaderLog = leaderLog;
  }

  /** Accepts a proposal if this node leads: appends it immediately if no batch was recent, otherwise with the next batch. */
  add(proposal: Proposal): void {
    if (this.consensus.current.role !== "leader") return proposal.respond({ kind: "notLeader" });
    this.waiting.push(proposal);
    this.scheduleBatch();
  }

  /** Appends all waiting proposals to the leader's log. */
  appendBatch(): void {
    this.isBatchScheduled = false;
    if (this.consensus.current.role !== "leader") return this.rejectAll();
    const batch = this.waiting.splice(0);
    if (batch.length === 0) return;
    this.lastBatchMs = this.clock.nowMs();
    this.leaderLog.append(
      batch.map(({ text }) => text),
      batch.map(({ respond }) => respond),
    );
  }

  /** Rejects all waiting proposals, since this node isn't the leader. */
  rejectAll(): void {
    for (const { respond } of this.waiting.splice(0)) respond({ kind: "notLeader" });
  }

  private scheduleBatch(): void {
    if (this.isBatchScheduled) return;
    const waitMs = this.lastBatchMs + BATCH_INTERVAL_MS - this.clock.nowMs();
    if (waitMs <= 0) return this.appendBatch();
    this.isBatchScheduled = true;
    this.clock.after(waitMs, () => this.events.put({ kind: "proposalBatchDue" }));
  }
}
