/** Collects proposals into batches, so that one write and one round of replication carry many. */
import type { Clock } from "../../runtime/clock.js";
import type { ConsensusOwner } from "../consensus-owner.js";
import type { LeaderLog } from "../leadership/leader-log.js";
import type { NodeEventSink } from "../node-event.js";
import type { Proposal } from "./proposal.js";

/** The shortest time between two batches of proposals. */
const BATCH_INTERVAL_MS = 8;

/** What a proposal queue works with. */
export interface ProposalQueueOptions {
  readonly clock: Clock;
  readonly consensus: ConsensusOwner;
  readonly events: NodeEventSink;
  readonly leaderLog: LeaderLog;
}

/** Proposals that wait to be appended to the leader's log. */
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

  /** Accepts a proposal where this node leads: it is appended at once after a pause, else with the next batch. */
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

  /** Reports to all waiting proposals that this node doesn't lead. */
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
