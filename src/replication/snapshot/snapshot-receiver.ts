/** Assembles a leader's snapshot from its pieces. */
import { crc32, inflateRawSync } from "node:zlib";
import {
  SNAPSHOT_PIECE_BYTES,
  type SnapshotIdentity,
  type SnapshotPiece,
} from "./snapshot-sender.js";

/** Maximum size of an accepted snapshot. */
const MAX_SNAPSHOT_BYTES = 64 * 1024 * 1024;

/** The result of receiving a piece: more pieces are needed, or the text is complete. */
export type SnapshotReceived =
  | {
      readonly kind: "partial";
      readonly receivedBytes: number;
      /** Whether the piece was new and valid. */
      readonly isAdded: boolean;
    }
  | { readonly kind: "complete"; readonly text: string };

/** The received pieces of one snapshot. */
interface Assembly {
  readonly identity: SnapshotIdentity;
  readonly pieces: Uint8Array[];
  receivedBytes: number;
}

const isSameSnapshot = (a: SnapshotIdentity, b: SnapshotIdentity): boolean =>
  a.lastIndex === b.lastIndex &&
  a.lastTerm === b.lastTerm &&
  a.totalBytes === b.totalBytes &&
  a.checksum === b.checksum;

/** Returns the inflated bytes of a piece; `undefined` if they are invalid or don't have the expected size. */
const inflatePiece = (bytes: Uint8Array, expectedBytes: number): Buffer | undefined => {
  try {
    const text = inflateRawSync(bytes, { maxOutputLength: SNAPSHOT_PIECE_BYTES });
    return text.length === expectedBytes ? text : undefined;
  } catch {
    return undefined;
  }
};

/** Receives one snapshot at a time, and retains its pieces deflated. */
export class SnapshotReceiver {
  private assembly: Assembly | undefined;

  /** The number of inflated bytes received of the current snapshot. */
  get receivedBytes(): number {
    return this.assembly?.receivedBytes ?? 0;
  }

  /** Receives a piece. A piece out of order is ignored; a piece of another snapshot discards the received ones. */
  receive(piece: SnapshotPiece): SnapshotReceived {
    const { lastIndex, lastTerm, totalBytes, checksum } = piece;
    if (totalBytes > MAX_SNAPSHOT_BYTES)
      return { kind: "partial", receivedBytes: 0, isAdded: false };
    if (!this.assembly || !isSameSnapshot(this.assembly.identity, piece))
      this.assembly = {
        identity: { lastIndex, lastTerm, totalBytes, checksum },
        pieces: [],
        receivedBytes: 0,
      };
    const { assembly } = this;
    const expectedBytes = Math.min(SNAPSHOT_PIECE_BYTES, totalBytes - assembly.receivedBytes);
    const isNextPiece = piece.bytes.length > 0 && piece.offset === assembly.receivedBytes;
    const isAdded = isNextPiece && inflatePiece(piece.bytes, expectedBytes) !== undefined;
    if (isAdded) {
      assembly.pieces.push(Uint8Array.from(piece.bytes));
      assembly.receivedBytes += expectedBytes;
    }
    if (assembly.receivedBytes < totalBytes)
      return { kind: "partial", receivedBytes: assembly.receivedBytes, isAdded };
    return this.finish(assembly);
  }

  /** Drops the pieces of a snapshot that ends at or before an index; returns whether there were any. */
  dropUpTo(index: number): boolean {
    if (!this.assembly || this.assembly.identity.lastIndex > index) return false;
    this.assembly = undefined;
    return true;
  }

  private finish({ pieces, identity }: Assembly): SnapshotReceived {
    this.assembly = undefined;
    const bytes = Buffer.concat(pieces.map((piece) => inflateRawSync(piece)));
    return crc32(bytes) === identity.checksum
      ? { kind: "complete", text: bytes.toString("utf8") }
      : { kind: "partial", receivedBytes: 0, isAdded: false };
  }
}
