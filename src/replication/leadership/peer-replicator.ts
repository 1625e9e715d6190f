/** Replicates the leader's log to one other member with entries, heartbeats and snapshots. */
import {
  appendRequestFor,
  appendTimeoutMs,
  initialProgress,
  needsSnapshot,
  progressAfter,
  type Progress,
} from "../../consensus/replication.js";
import type { RpcEndpoint } from "../../rpc/rpc-endpoint.js";
import { rpcMethods } from "../../rpc/rpc-method.js";
import type { Clock } from "../../runtime/clock.js";
import type { Queue } from "../../runtime/queue.js";
import type { Task } from "../../runtime/task.js";
import type { ConsensusOwner } from "../consensus-owner.js";
import type { NodeEventSink, SnapshotPieceResponse } from "../node-event.js";
import type { ReplicationTimeouts } from "../replication-timeouts.js";
import type {
  SharedSnapshot,
  SnapshotMessage,
  SnapshotSender,
} from "../snapshot/snapshot-sender.js";

/** Maximum entries and bytes in one append request; a single larger entry exceeds the bytes. */
export const APPEND_BATCH_LIMIT = { entries: 1024, bytes: 256 * 1024 };
/** Timeout of a request with a snapshot or a piece of one, in ms. */
const SNAPSHOT_TIMEOUT_MS = 5000;

/** The dependencies of a replicator. */
export interface PeerReplicatorOptions {
  readonly peer: string;
  /** The term of the leadership that the replicator belongs to. */
  readonly term: number;
  /** Wakes the replicator before its next heartbeat. */
  readonly wakeup: Queue<true>;
  readonly clock: Clock;
  readonly rpc: RpcEndpoint;
  readonly consensus: ConsensusOwner;
  readonly events: NodeEventSink;
  readonly timeouts: ReplicationTimeouts;
  readonly snapshotSender: SnapshotSender;
  readonly createSnapshot: () => SharedSnapshot;
}

/** Replicates the log to one peer during one term. */
export class PeerReplicator {
  private readonly options: PeerReplicatorOptions;
  private progress: Progress;
  /** Whether the peer replied to the last request: a snapshot is sent only to a responsive member. */
  private isResponsive = false;

  constructor(options: PeerReplicatorOptions) {
    this.options = options;
    this.progress = initialProgress(options.consensus.current);
  }

  /** Replicates until this node is no longer the leader of the term, or the peer is no longer a member. */
  *run(): Task {
    const { peer, term, wakeup, clock, consensus, timeouts } = this.options;
    while (consensus.isLeadingIn(term) && consensus.isMember(peer)) {
      const sendsSnapshot = this.isResponsive && needsSnapshot(consensus.current, this.progress);
      const hasMore = sendsSnapshot ? yield* this.sendSnapshot() : yield* this.sendEntries();
      if (hasMore) continue;
      wakeup.drain();
      yield* wakeup.takeUntil(clock, clock.nowMs() + timeouts.heartbeatMs);
    }
  }

  /** Sends entries or a heartbeat; returns whether to send the next request immediately. */
  private *sendEntries(): Task<boolean> {
    const { peer, term, clock, rpc, consensus, events, timeouts } = this.options;
    const sentMs = clock.nowMs();
    const { baseIndex } = consensus.current.log;
    const sent = { ...this.progress, next: Math.max(this.progress.next, baseIndex + 1) };
    const request = appendRequestFor(consensus.current, sent, APPEND_BATCH_LIMIT);
    const timeoutMs = appendTimeoutMs(request, timeouts);
    const reply = yield* rpc.call(peer, rpcMethods.append, request, timeoutMs);
    if (reply && reply.term > term) events.put({ kind: "newerTermSeen", term: reply.term });
    if (reply?.term !== term) return false;
    const { fits, counts } = reply;
    const matchIndex = fits ? reply.matched : 0;
    events.put({
      kind: "acknowledged",
      acknowledgment: { peer, term, sentMs, matchIndex, counts },
    });
    this.isResponsive = true;
    this.progress = progressAfter(sent, reply);
    return !fits || consensus.current.log.lastIndex >= this.progress.next;
  }

  /** Sends the next message of the snapshot; returns whether to send the next request immediately. */
  private *sendSnapshot(): Task<boolean> {
    const installedIndex = yield* this.transferSnapshot();
    this.isResponsive = installedIndex !== undefined;
    if (installedIndex !== undefined && installedIndex > 0)
      this.progress = { ...this.progress, next: installedIndex + 1 };
    return this.isResponsive;
  }

  /**
   * Sends the next message of the snapshot. Returns the index of the installed snapshot's last entry, 0 if the transfer
   * advanced without completing, or `undefined` if it didn't advance.
   */
  private *transferSnapshot(): Task<number | undefined> {
    const { peer, term, clock, consensus, events, snapshotSender, createSnapshot } = this.options;
    const sentMs = clock.nowMs();
    const { baseIndex } = consensus.current.log;
    const message = snapshotSender.nextMessage(peer, baseIndex, sentMs, createSnapshot);
    const reply = yield* this.sendSnapshotMessage(message);
    if (reply && reply.term > term) events.put({ kind: "newerTermSeen", term: reply.term });
    if (reply?.term !== term) {
      snapshotSender.onNoReply(peer);
      return undefined;
    }
    const { matched: matchIndex, counts } = reply;
    events.put({
      kind: "acknowledged",
      acknowledgment: { peer, term, sentMs, matchIndex, counts },
    });
    const isInstalled = matchIndex >= message.snapshot.identity.lastIndex;
    if (isInstalled) {
      snapshotSender.endTransfer(peer);
      return matchIndex;
    }
    if (message.kind === "complete") return undefined;
    return snapshotSender.onReply(peer, reply.receivedBytes, clock.nowMs()) ? 0 : undefined;
  }

  private *sendSnapshotMessage(message: SnapshotMessage): Task<SnapshotPieceResponse | undefined> {
    const { peer, term, rpc, consensus } = this.options;
    const leader = consensus.current.self;
    if (message.kind === "piece") {
      const piece = { term, leader, ...message.piece };
      return yield* rpc.call(peer, rpcMethods.snapshotPiece, piece, SNAPSHOT_TIMEOUT_MS);
    }
    const { lastIndex, lastTerm } = message.snapshot.identity;
    const complete = { term, leader, lastIndex, lastTerm, text: message.snapshot.text };
    const reply = yield* rpc.call(peer, rpcMethods.snapshot, complete, SNAPSHOT_TIMEOUT_MS);
    return reply && { ...reply, receivedBytes: 0 };
  }
}
