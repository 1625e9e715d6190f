/** A leader's transfers of its snapshot, in pieces, to members that are behind its log. */
import { crc32, deflateRawSync } from "node:zlib";

/** How much of a snapshot's text one piece carries. */
export const SNAPSHOT_PIECE_BYTES = 256 * 1024;
/** How long a snapshot and the log after it are retained for a transfer that doesn't advance. */
const TRANSFER_IDLE_MS = 10_000;
/** After so many pieces without a reply, to a member that never replied to one, the complete snapshot is sent once. */
const PIECES_BEFORE_COMPLETE = 3;

/** Which snapshot a piece belongs to; the same text at the same index of the log has the same identity. */
export interface SnapshotIdentity {
  readonly lastIndex: number;
  readonly lastTerm: number;
  readonly totalBytes: number;
  readonly checksum: number;
}

/** One piece of a snapshot; without bytes it queries how much has been received. */
export interface SnapshotPiece extends SnapshotIdentity {
  /** Where in the text the piece begins. */
  readonly offset: number;
  /** The text from there on, deflated. */
  readonly bytes: Uint8Array;
}

/** A snapshot's text, made once and shared by all transfers of it. Each piece is deflated when it is first sent. */
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

  /** The complete text, for members of builds that know no pieces. */
  get text(): string {
    return this.bytes.toString("utf8");
  }

  /** The piece that begins at an offset. */
  piece(offset: number): SnapshotPiece {
    const cached = this.deflated.get(offset);
    const bytes =
      cached ?? deflateRawSync(this.bytes.subarray(offset, offset + SNAPSHOT_PIECE_BYTES));
    this.deflated.set(offset, bytes);
    return { ...this.identity, offset, bytes };
  }

  /** The query how much of this snapshot has been received. */
  get query(): SnapshotPiece {
    return { ...this.identity, offset: 0, bytes: new Uint8Array() };
  }
}

/** The progress of the transfer to one member. */
interface Transfer {
  readonly snapshot: SharedSnapshot;
  /** What the member is known to have received; `undefined` before it was queried. */
  readonly receivedBytes: number | undefined;
  readonly lastAdvanceMs: number;
}

/** The next message: a piece, or the complete snapshot for a member that may not know of pieces. */
export type SnapshotMessage =
  | { readonly kind: "piece"; readonly snapshot: SharedSnapshot; readonly piece: SnapshotPiece }
  | { readonly kind: "complete"; readonly snapshot: SharedSnapshot };

/** Decides what each transfer sends next; it sends nothing itself. */
export class SnapshotSender {
  private shared: SharedSnapshot | undefined;
  private readonly transfers = new Map<string, Transfer>();
  private readonly repliedPeers = new Set<string>();
  private readonly messagesWithoutReply = new Map<string, number>();

  /**
   * The next message to a member. The shared snapshot is used as long as the log reaches back to it, so that entries can
   * follow it; else `make` returns a new one.
   */
  nextMessage(
    peer: string,
    baseIndex: number,
    nowMs: number,
    make: () => SharedSnapshot,
  ): SnapshotMessage {
    if (!this.shared || this.shared.identity.lastIndex < baseIndex) this.shared = make();
    const snapshot = this.shared;
    let transfer = this.transfers.get(peer);
    if (transfer?.snapshot !== snapshot) {
      transfer = { snapshot, receivedBytes: undefined, lastAdvanceMs: nowMs };
      this.transfers.set(peer, transfer);
    }
    const count = this.messagesWithoutReply.get(peer) ?? 0;
    this.messagesWithoutReply.set(peer, count + 1);
    if (
      !this.repliedPeers.has(peer) &&
      count % (PIECES_BEFORE_COMPLETE + 1) === PIECES_BEFORE_COMPLETE
    )
      return { kind: "complete", snapshot };
    const isOnePiece = snapshot.identity.totalBytes <= SNAPSHOT_PIECE_BYTES;
    const receivedBytes = transfer.receivedBytes ?? (isOnePiece ? 0 : undefined);
    const piece = receivedBytes === undefined ? snapshot.query : snapshot.piece(receivedBytes);
    return { kind: "piece", snapshot, piece };
  }

  /** A member replied how much of the snapshot it has received; returns whether the transfer advanced. */
  onReply(peer: string, receivedBytes: number, nowMs: number): boolean {
    this.repliedPeers.add(peer);
    this.messagesWithoutReply.delete(peer);
    const transfer = this.transfers.get(peer);
    if (!transfer) return false;
    const { totalBytes } = transfer.snapshot.identity;
    const isWithin = receivedBytes < totalBytes && receivedBytes % SNAPSHOT_PIECE_BYTES === 0;
    const nextBytes = isWithin ? receivedBytes : 0;
    const hasAdvanced = nextBytes > (transfer.receivedBytes ?? -1);
    const answeredMs = hasAdvanced ? nowMs : transfer.lastAdvanceMs;
    this.transfers.set(peer, { ...transfer, receivedBytes: nextBytes, lastAdvanceMs: answeredMs });
    return hasAdvanced;
  }

  /** A message got no reply: the member is queried again how much it has received. */
  onNoReply(peer: string): void {
    const transfer = this.transfers.get(peer);
    if (transfer) this.transfers.set(peer, { ...transfer, receivedBytes: undefined });
  }

  /** A member needs no snapshot any more. */
  endTransfer(peer: string): void {
    this.transfers.delete(peer);
    this.messagesWithoutReply.delete(peer);
    if (this.transfers.size === 0) this.shared = undefined;
  }

  /** The index after which the log must be retained for transfers under way, or nothing. */
  retainedIndex(nowMs: number): number | undefined {
    for (const [peer, { lastAdvanceMs: answeredMs }] of this.transfers)
      if (nowMs - answeredMs > TRANSFER_IDLE_MS) this.endTransfer(peer);
    return this.shared?.identity.lastIndex;
  }
}
