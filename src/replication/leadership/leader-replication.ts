/** The replication of a leader's log to all other members: one replicator for each. */
import { membersAt } from "../../consensus/state.js";
import type { RpcEndpoint } from "../../rpc/rpc-endpoint.js";
import { Queue } from "../../runtime/queue.js";
import { type Runtime, startTask } from "../../runtime/runtime.js";
import type { Task } from "../../runtime/task.js";
import type { StateMachine } from "../../state/state-machine.js";
import type { ConsensusOwner } from "../consensus-owner.js";
import type { NodeEventSink } from "../node-event.js";
import type { ReplicationTimeouts } from "../replication-timeouts.js";
import { SharedSnapshot, SnapshotSender } from "../snapshot/snapshot-sender.js";
import { PeerReplicator } from "./peer-replicator.js";

/** What a leader's replication works with. */
export interface LeaderReplicationOptions {
  readonly runtime: Runtime;
  readonly rpc: RpcEndpoint;
  readonly consensus: ConsensusOwner;
  readonly events: NodeEventSink;
  readonly timeouts: ReplicationTimeouts;
  readonly stateMachine: StateMachine;
  /** The index up to which the state machine has applied the log. */
  readonly appliedIndex: () => number;
}

/** Starts, wakes and forgets the replicators of the other members. */
export class LeaderReplication {
  private readonly options: LeaderReplicationOptions;
  /** What wakes the replicator of each peer before its next heartbeat. */
  private wakeups = new Map<string, Queue<true>>();
  private snapshotSender = new SnapshotSender();

  constructor(options: LeaderReplicationOptions) {
    this.options = options;
  }

  /** Begins a leadership, for which there are no replicators yet. */
  begin(): void {
    this.wakeups = new Map();
    this.snapshotSender = new SnapshotSender();
  }

  /** Starts a replicator for each other member that has none. */
  ensureReplicators(term: number): void {
    const { consensus, runtime } = this.options;
    const { voters, learners } = consensus.current.members;
    for (const peer of [...voters, ...learners]) {
      if (peer === consensus.current.self || this.wakeups.has(peer)) continue;
      const wakeup = new Queue<true>();
      this.wakeups.set(peer, wakeup);
      startTask(runtime, "replication", this.replicate(peer, term, wakeup));
    }
  }

  /** Has all replicators send what is new now, or notice that the leadership has ended. */
  wakeAll(): void {
    for (const wakeup of this.wakeups.values()) wakeup.put(true);
  }

  /** Drops the snapshot that was made for transfers. */
  dropSnapshot(): void {
    this.snapshotSender = new SnapshotSender();
  }

  /** The index after which the log must be retained for transfers under way, if there are any. */
  retainedIndex(nowMs: number): number | undefined {
    return this.snapshotSender.retainedIndex(nowMs);
  }

  private *replicate(peer: string, term: number, wakeup: Queue<true>): Task {
    const { runtime, rpc, consensus, events, timeouts } = this.options;
    const { snapshotSender } = this;
    const replicator = new PeerReplicator({
      peer,
      term,
      wakeup,
      clock: runtime.clock,
      rpc,
      consensus,
      events,
      timeouts,
      snapshotSender,
      createSnapshot: () => this.makeSnapshot(),
    });
    yield* replicator.run();
    if (this.wakeups.get(peer) !== wakeup) return;
    this.wakeups.delete(peer);
    snapshotSender.endTransfer(peer);
  }

  private makeSnapshot(): SharedSnapshot {
    const { consensus, stateMachine } = this.options;
    const appliedIndex = this.options.appliedIndex();
    const lastTerm = consensus.current.log.termAt(appliedIndex) ?? 0;
    const text = stateMachine.snapshot(membersAt(consensus.current, appliedIndex));
    return new SharedSnapshot(appliedIndex, lastTerm, text);
  }
}
