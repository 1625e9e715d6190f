/** Runs a node while it leads, from its election until it steps down. */
import {
  becomeLeader,
  leadershipEntryText,
  stepDownReason,
  selectTransferTarget,
} from "../../consensus/leadership.js";
import type { RpcEndpoint } from "../../rpc/rpc-endpoint.js";
import { rpcMethods } from "../../rpc/rpc-method.js";
import type { Logger } from "../../runtime/logger.js";
import { type Runtime, startTask } from "../../runtime/runtime.js";
import type { Task } from "../../runtime/task.js";
import type { ConsensusOwner } from "../consensus-owner.js";
import type { MembershipManager } from "../membership/membership-manager.js";
import type { NodeEvent, NodeEventQueue } from "../node-event.js";
import type { PendingProposals } from "../proposals/pending-proposals.js";
import type { ProposalQueue } from "../proposals/proposal-queue.js";
import type { ReplicationTimeouts } from "../replication-timeouts.js";
import type { LeaderLog } from "./leader-log.js";
import type { LeaderReplication } from "./leader-replication.js";

/** How long the reply to an offer of the leadership is awaited. */
const TRANSFER_TIMEOUT_MS = 300;

/** What a leader driver works with. */
export interface LeaderDriverOptions {
  readonly runtime: Runtime;
  readonly rpc: RpcEndpoint;
  readonly log: Logger;
  readonly consensus: ConsensusOwner;
  readonly events: NodeEventQueue;
  readonly timeouts: ReplicationTimeouts;
  readonly leaderLog: LeaderLog;
  readonly replication: LeaderReplication;
  readonly proposals: ProposalQueue;
  readonly pending: PendingProposals;
  readonly membership: MembershipManager;
  /** Processes one event of the node. */
  readonly handle: (event: NodeEvent) => void;
}

/** The node as the leader. */
export class LeaderDriver {
  private readonly options: LeaderDriverOptions;
  private readonly listeners: Array<(isLeader: boolean) => void> = [];

  constructor(options: LeaderDriverOptions) {
    this.options = options;
  }

  /** Registers a listener that is called each time this node begins or ceases to lead. */
  onChange(listener: (isLeader: boolean) => void): void {
    this.listeners.push(listener);
  }

  /** Leads until this node steps down or learns of a newer term. */
  *run(): Task {
    const { runtime, log, consensus, events, timeouts, replication, handle } = this.options;
    const { clock } = runtime;
    const term = this.begin();
    const startedMs = clock.nowMs();
    while (consensus.isLeadingIn(term)) {
      replication.ensureReplicators(term);
      const event = yield* events.takeUntil(clock, clock.nowMs() + timeouts.heartbeatMs);
      if (event) handle(event);
      if (!consensus.isLeadingIn(term)) break;
      this.review(term, startedMs);
    }
    this.end();
    log.info("leadership ended", { term });
  }

  /** Steps down in favour of the voter whose log is the furthest. */
  transferLeadership(why: string): void {
    const { runtime, rpc, log, consensus, membership } = this.options;
    const { term } = consensus.current;
    const target = selectTransferTarget(consensus.current, membership.stoppingMembers());
    log.warn("leadership transfer", { why, to: target ?? "nobody" });
    consensus.follow(term, "");
    if (target === undefined) return;
    const offer = (function* (): Task {
      yield* rpc.call(target, rpcMethods.handOver, { term }, TRANSFER_TIMEOUT_MS);
    })();
    startTask(runtime, "replication", offer);
  }

  /** Begins to lead; returns the term. */
  private begin(): number {
    const { log, consensus, leaderLog, replication, pending } = this.options;
    consensus.update(becomeLeader(consensus.current));
    const { term } = consensus.current;
    replication.begin();
    pending.clear();
    log.info("leader elected", { term });
    leaderLog.append([leadershipEntryText(consensus.current)]);
    for (const listener of this.listeners) listener(true);
    return term;
  }

  /** Steps down where this node must, else changes the membership where that is due. */
  private review(term: number, startedMs: number): void {
    const { consensus, membership } = this.options;
    const reason = stepDownReason(consensus.current, startedMs, consensus.context);
    if (!consensus.rights.lead) return this.transferLeadership("disk too slow");
    if (reason === "notVoter") return this.transferLeadership("not a voter");
    if (reason === "noContact") return consensus.follow(term, "");
    membership.addRequestedLearners();
    membership.review(startedMs);
  }

  private end(): void {
    const { replication, proposals, pending, membership } = this.options;
    replication.dropSnapshot();
    membership.rejectLearners();
    pending.abandon();
    proposals.rejectAll();
    replication.wakeAll();
    for (const listener of this.listeners) listener(false);
  }
}
