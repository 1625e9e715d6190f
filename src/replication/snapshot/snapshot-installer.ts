/** Installs the snapshots that a leader sends, complete or in pieces. */
import { acknowledgeSnapshot, decideSnapshot, installSnapshot } from "../../consensus/snapshot.js";
import type { StateMachine } from "../../state/state-machine.js";
import type { ConsensusOwner } from "../consensus-owner.js";
import type { LogApplier } from "../log/log-applier.js";
import type { DurableState } from "../log/durable-state.js";
import type { LogStore } from "../log/log-store.js";
import type { LogWriter } from "../log/log-writer.js";
import type {
  SnapshotPieceRequest,
  SnapshotPieceResponse,
  SnapshotRequest,
  SnapshotResponse,
} from "../node-event.js";
import { SnapshotReceiver } from "./snapshot-receiver.js";
import type { SnapshotPiece } from "./snapshot-sender.js";

/** What a snapshot installer works with. */
export interface SnapshotInstallerOptions {
  readonly consensus: ConsensusOwner;
  readonly stateMachine: StateMachine;
  readonly store: LogStore;
  readonly writer: LogWriter;
  readonly applier: LogApplier;
  readonly formation: { readonly fleet: string };
}

/** Nothing waits for writes to the file of received pieces: a piece that isn't on disk is sent again. */
const ignoreResult = (): void => undefined;

/** The node as the receiver of a leader's snapshot. */
export class SnapshotInstaller {
  private readonly options: SnapshotInstallerOptions;
  private readonly receiver = new SnapshotReceiver();
  private installed = 0;

  constructor(options: SnapshotInstallerOptions) {
    this.options = options;
  }

  /** How many snapshots were installed since the start. */
  get installedCount(): number {
    return this.installed;
  }

  /** How many bytes of a snapshot have been received that is not complete yet. */
  get receivedBytes(): number {
    return this.receiver.receivedBytes;
  }

  /** Goes on with the pieces that were received before a restart. */
  resume(pieces: readonly SnapshotPiece[]): void {
    for (const piece of pieces) this.receiver.receive(piece);
  }

  /** Receives a piece, and installs the snapshot once it is complete. */
  onPiece(request: SnapshotPieceRequest, respond: (reply: SnapshotPieceResponse) => void): void {
    const { consensus, store, writer } = this.options;
    const decision = decideSnapshot(consensus.current, request, consensus.context);
    consensus.update(decision.state);
    if (decision.kind === "reply") return respond({ ...decision.reply, receivedBytes: 0 });
    const received = this.receiver.receive(request);
    if (received.kind === "partial") {
      if (received.isAdded) writer.attempt(() => store.snapshotPart.add(request), ignoreResult);
      const { receivedBytes } = received;
      const { term } = consensus.current;
      return respond({ term, counts: decision.counts, matched: 0, receivedBytes });
    }
    const { term, leader, lastIndex, lastTerm, totalBytes } = request;
    this.onSnapshot({ term, leader, lastIndex, lastTerm, text: received.text }, (reply) =>
      respond({ ...reply, receivedBytes: totalBytes }),
    );
    this.removePieces();
  }

  /** Installs a complete snapshot and acknowledges it once it is on disk. */
  onSnapshot(request: SnapshotRequest, respond: (reply: SnapshotResponse) => void): void {
    const { consensus, stateMachine, writer, applier, formation } = this.options;
    const decision = decideSnapshot(consensus.current, request, consensus.context);
    consensus.update(decision.state);
    if (decision.kind === "reply") return respond(decision.reply);
    const { counts, entries } = decision;
    const { term, votedFor, rejoinNonce } = consensus.current;
    const { lastIndex, lastTerm, text } = request;
    const durableState: DurableState = {
      fleet: formation.fleet,
      rejoinNonce,
      term,
      votedFor,
      lastIndex,
      lastTerm,
      snapshot: text,
      entries: [...entries],
    };
    const members = stateMachine.restore(text);
    consensus.update(installSnapshot(consensus.current, request, members, entries));
    this.installed += 1;
    applier.onRestored(lastIndex);
    const { truncations } = consensus.current;
    const pending = { term, truncations, counts, matched: lastIndex };
    writer.writeSnapshot(durableState, () => {
      const syncedIndex = lastIndex + entries.length;
      const { current, context } = consensus;
      const acknowledged = acknowledgeSnapshot(current, pending, syncedIndex, context);
      consensus.update(acknowledged.state);
      respond(acknowledged.reply);
    });
  }

  /** Drops what was received of a snapshot that ends at an index or before: the own log covers it by now. */
  dropUpTo(index: number): void {
    if (this.receiver.dropUpTo(index)) this.removePieces();
  }

  private removePieces(): void {
    const { store, writer } = this.options;
    writer.attempt(() => store.snapshotPart.remove(), ignoreResult);
  }
}
