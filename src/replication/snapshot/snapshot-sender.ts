import { crc32, deflateRawSync } from "node:zlib";

/** How much of a snapshot's text one piece carries. */
export const SNAPSHOT_PIECE_BYTES = 256 * 1024;
/** How long a snapshot and the log after it are held for transfers that come no further. */
const idleMs = 10_000;
/** After so many pieces without an answer, from a member that never answered one, the whole goes as one message once. */
const unansweredPieces = 3;

/** Which snapshot a piece belongs to; the same text at the same place in the log has the same identity. */
export interface SnapshotIdentity {
  readonly lastIndex: number;
  readonly lastTerm: number;
  readonly totalBytes: number;
  readonly checksum: number;
}

/** One piece of a snapshot; without bytes it asks how much has been received. */
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

  /** The whole text, for members of builds that know no pieces. */
  get text(): string {
    return this.bytes.toString("utf8");
  }

  /** The piece that begins at an offset. */
  piece(offset: number): SnapshotPiece {
    const known = this.deflated.get(offset);
    const bytes =
      known ?? deflateRawSync(this.bytes.subarray(offset, offset + SNAPSHOT_PIECE_BYTES));
    this.deflated.set(offset, bytes);
    return { ...this.identity, offset, bytes };
  }

  /** The question how much of this snapshot has been received. */
  get question(): SnapshotPiece {
    return { ...this.identity, offset: 0, bytes: new Uint8Array() };
  }
}

/** How far the transfer to one member has come. */
interface Transfer {
  readonly snapshot: SharedSnapshot;
  /** What the member is known to have received; nothing before it was asked. */
  readonly receivedBytes: number | undefined;
  readonly answeredMs: number;
}

/** What is sent next: a piece, or to a member that may not know of pieces the whole in one message. */
export type SnapshotMessage =
  | { readonly kind: "piece"; readonly snapshot: SharedSnapshot; readonly piece: SnapshotPiece }
  | { readonly kind: "whole"; readonly snapshot: SharedSnapshot };

/** A leader's transfers of its snapshot to members that are behind its log. It sends nothing itself. */
export class SnapshotSender {
  private shared: SharedSnapshot | undefined;
  private readonly transfers = new Map<string, Transfer>();
  private readonly answeredOnce = new Set<string>();
  private readonly unanswered = new Map<string, number>();

  /**
   * What a member is sent next. The shared snapshot is used as long as the log reaches back to it, so that entries can
   * follow it; else `make` gives a new one.
   */
  next(
    peer: string,
    baseIndex: number,
    nowMs: number,
    make: () => SharedSnapshot,
  ): SnapshotMessage {
    if (!this.shared || this.shared.identity.lastIndex < baseIndex) this.shared = make();
    const snapshot = this.shared;
    let transfer = this.transfers.get(peer);
    if (transfer?.snapshot !== snapshot) {
      transfer = { snapshot, receivedBytes: undefined, answeredMs: nowMs };
      this.transfers.set(peer, transfer);
    }
    const count = this.unanswered.get(peer) ?? 0;
    this.unanswered.set(peer, count + 1);
    if (!this.answeredOnce.has(peer) && count % (unansweredPieces + 1) === unansweredPieces)
      return { kind: "whole", snapshot };
    const isOnePiece = snapshot.identity.totalBytes <= SNAPSHOT_PIECE_BYTES;
    const receivedBytes = transfer.receivedBytes ?? (isOnePiece ? 0 : undefined);
    const piece = receivedBytes === undefined ? snapshot.question : snapshot.piece(receivedBytes);
    return { kind: "piece", snapshot, piece };
  }

  /** A member told how much of a snapshot it has received; tells whether the transfer came further by that. */
  answered(peer: string, receivedBytes: number, nowMs: number): boolean {
    this.answeredOnce.add(peer);
    this.unanswered.delete(peer);
    const transfer = this.transfers.get(peer);
    if (!transfer) return false;
    const { totalBytes } = transfer.snapshot.identity;
    const isWithin = receivedBytes < totalBytes && receivedBytes % SNAPSHOT_PIECE_BYTES === 0;
    const nextBytes = isWithin ? receivedBytes : 0;
    const isFurther = nextBytes > (transfer.receivedBytes ?? -1);
    const answeredMs = isFurther ? nowMs : transfer.answeredMs;
    this.transfers.set(peer, { ...transfer, receivedBytes: nextBytes, answeredMs });
    return isFurther;
  }

  /** A piece got no answer: the member is asked anew how much it holds. */
  lost(peer: string): void {
    const transfer = this.transfers.get(peer);
    if (transfer) this.transfers.set(peer, { ...transfer, receivedBytes: undefined });
  }

  /** A member needs no snapshot any more. */
  ended(peer: string): void {
    this.transfers.delete(peer);
    this.unanswered.delete(peer);
    if (this.transfers.size === 0) this.shared = undefined;
  }

  /** The index after which the log must stay for transfers that go on, or nothing. */
  heldIndex(nowMs: number): number | undefined {
    for (const [peer, { answeredMs }] of this.transfers)
      if (nowMs - answeredMs > idleMs) this.ended(peer);
    return this.shared?.identity.lastIndex;
  }
}
