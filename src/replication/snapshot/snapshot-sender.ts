/** A leader's transfers of its snapshot, in pieces, to members that lag behind its compacted log. */
import { crc32, deflateRawSync } from "node:zlib";

/** Maximum size of the inflated text in one piece. */
export const SNAPSHOT_PIECE_BYTES = 256 * 1024;
/** How long a snapshot and the log after it are retained for a transfer that doesn't advance, in ms. */
const TRANSFER_IDLE_MS = 10_000;
/** After this many pieces without a reply, the complete snapshot is sent once to a member that never replied to a piece. */
const PIECES_BEFORE_COMPLETE = 3;

/** Identifies the snapshot of a piece; the same text at the same index of the log has the same identity. */
export interface SnapshotIdentity {
  readonly lastIndex: number;
  readonly lastTerm: number;
  readonly totalBytes: number;
  readonly checksum: number;
}

/** One piece of a snapshot; a piece without bytes queries how many bytes the member has received. */
export interface SnapshotPiece extends SnapshotIdentity {
  /** The offset of the piece in the UTF-8 text, in bytes. */
  readonly offset: number;
  /** The deflated text of the piece. */
  readonly bytes: Uint8Array;
}

/** A snapshot's text, created once and shared by all transfers. Each piece is deflated when it is first sent. */
export class SharedSnapshot {
  readonly identity: SnapshotIdentity;
  private readonly bytes: Buffer;
  private readonly deflated = new Map<number, Buffer>();

  constructor(lastIndex: number, lastTerm: number, text: string) {
    this.bytes = Buffer.from(text, "utf8");
    this.identity = {
      lastIndex,
      lastTerm,
      totalBytes: this.bytes.length,
      checksum: crc32(this.bytes),
    };
  }

  /** The complete text, for members of builds that don't support pieces. */
  get text(): string {
    return this.bytes.toString("utf8");
  }

  /** Returns the piece at an offset. */
  piece(offset: number): SnapshotPiece {
    const cached = this.deflated.get(offset);
    const bytes =
      cached ?? deflateRawSync(this.bytes.subarray(offset, offset + SNAPSHOT_PIECE_BYTES));
    this.deflated.set(offset, bytes);
    return { ...this.identity, offset, bytes };
  }

  /** The piece that queries how many bytes of this snapshot the member has received. */
  get query(): SnapshotPiece {
    return { ...this.identity, offset: 0, bytes: new Uint8Array() };
  }
}

/** The progress of the transfer to one member. */
interface Transfer {
  readonly snapshot: SharedSnapshot;
  /** The bytes that the member has received; `undefined` until it replies to a query. */
  readonly receivedBytes: number | undefined;
  readonly lastAdvanceMs: number;
}

/** The next message: a piece, or the complete snapshot for a member that may not support pieces. */
export type SnapshotMessage =
  | { readonly kind: "piece"; readonly snapshot: SharedSnapshot; readonly piece: SnapshotPiece }
  | { readonly kind: "complete"; readonly snapshot: SharedSnapshot };

/** Decides the next message of each transfer, without sending it. */
export class SnapshotSender {
  private shared: SharedSnapshot | undefined;
  private readonly transfers = new Map<string, Transfer>();
  private readonly repliedPeers = new Set<string>();
  private readonly messagesWithoutReply = new Map<string, number>();

  /**
   * Returns the next message to a member. The shared snapshot is used as long as the log still contains the entries after
   * it; otherwise `createSnapshot` creates a new one.
   */
  nextMessage(
    peer: string,
    baseIndex: number,
    nowMs: number,
    createSnapshot: () => SharedSnapshot,
  ): SnapshotMessage {
    if (!this.shared || this.shared.identity.lastIndex < baseIndex) this.shared = createSnapshot();
    const snapshot = this.shared;
    let transfer = this.transfers.get(peer);
    if (transfer?.snapshot !== snapshot) {
      transfer = { snapshot, receivedBytes: undefined, lastAdvanceMs: nowMs };
      this.transfers.set(peer, transfer);
    }
    const sentCount = this.messagesWithoutReply.get(peer) ?? 0;
    this.messagesWithoutReply.set(peer, sentCount + 1);
    if (
      !this.repliedPeers.has(peer) &&
      sentCount % (PIECES_BEFORE_COMPLETE + 1) === PIECES_BEFORE_COMPLETE
    )
      return { kind: "complete", snapshot };
    const isOnePiece = snapshot.identity.totalBytes <= SNAPSHOT_PIECE_BYTES;
    const receivedBytes = transfer.receivedBytes ?? (isOnePiece ? 0 : undefined);
    const piece = receivedBytes === undefined ? snapshot.query : snapshot.piece(receivedBytes);
    return { kind: "piece", snapshot, piece };
  }

  /** Handles a reply with the number of received bytes; returns whether the transfer advanced. */
  onReply(peer: string, receivedBytes: number, nowMs: number): boolean {
    this.repliedPeers.add(peer);
    this.messagesWithoutReply.delete(peer);
    const transfer = this.transfers.get(peer);
    if (!transfer) return false;
    const { totalBytes } = transfer.snapshot.identity;
    const isValidOffset = receivedBytes < totalBytes && receivedBytes % SNAPSHOT_PIECE_BYTES === 0;
    const nextBytes = isValidOffset ? receivedBytes : 0;
    const hasAdvanced = nextBytes > (transfer.receivedBytes ?? -1);
    const lastAdvanceMs = hasAdvanced ? nowMs : transfer.lastAdvanceMs;
    this.transfers.set(peer, { ...transfer, receivedBytes: nextBytes, lastAdvanceMs });
    return hasAdvanced;
  }

  /** Handles a missing reply: the next message queries the received bytes again. */
  onNoReply(peer: string): void {
    const transfer = this.transfers.get(peer);
    if (transfer) this.transfers.set(peer, { ...transfer, receivedBytes: undefined });
  }

  /** Ends the transfer to a member that no longer needs a snapshot. */
  endTransfer(peer: string): void {
    this.transfers.delete(peer);
    this.messagesWithoutReply.delete(peer);
    if (this.transfers.size === 0) this.shared = undefined;
  }

  /** Ends idle transfers; returns the index after which the log must be retained for the others, or `undefined`. */
  retainedIndex(nowMs: number): number | undefined {
    for (const [peer, { lastAdvanceMs }] of this.transfers)
      if (nowMs - lastAdvanceMs > TRANSFER_IDLE_MS) this.endTransfer(peer);
    return this.shared?.identity.lastIndex;
  }
}
