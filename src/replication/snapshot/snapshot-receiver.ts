/** Assembles a leader's snapshot from its pieces. */
import { crc32, inflateRawSync } from "node:zlib";
import {
  SNAPSHOT_PIECE_BYTES,
  type SnapshotIdentity,
  type SnapshotPiece,
} from "./snapshot-sender.js";

/** The largest snapshot that is accepted. */
const MAX_SNAPSHOT_BYTES = 64 * 1024 * 1024;

/** The result of a piece: more pieces are needed, or the text is complete. */
export type SnapshotReceived =
  | {
      readonly kind: "partial";
      readonly receivedBytes: number;
      /** Whether this piece was added to the received ones. */
      readonly isAdded: boolean;
    }
  | { readonly kind: "complete"; readonly text: string };

/** What has been received of one snapshot. */
interface Assembly {
  readonly identity: SnapshotIdentity;
  readonly pieces: Uint8Array[];
  receivedBytes: number;
}

const isSameSnapshot = (one: SnapshotIdentity, other: SnapshotIdentity): boolean =>
  one.lastIndex === other.lastIndex &&
  one.lastTerm === other.lastTerm &&
  one.totalBytes === other.totalBytes &&
  one.checksum === other.checksum;

/** The inflated bytes of a piece, or nothing where they aren't of the expected size. */
const inflatePiece = (bytes: Uint8Array, expectedBytes: number): Buffer | undefined => {
  try {
    const text = inflateRawSync(bytes, { maxOutputLength: SNAPSHOT_PIECE_BYTES });
    return text.length === expectedBytes ? text : undefined;
  } catch {
    return undefined;
  }
};

/** Receives one snapshot at a time; its pieces are retained deflated. */
export class SnapshotReceiver {
  private assembly: Assembly | undefined;

  /** How much of the current snapshot has been received. */
  get receivedBytes(): number {
    return this.assembly?.receivedBytes ?? 0;
  }

  /** Accepts a piece. One that doesn't follow the received ones changes nothing; one of another snapshot begins anew. */
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
    const follows = piece.bytes.length > 0 && piece.offset === assembly.receivedBytes;
    const isAdded = follows && inflatePiece(piece.bytes, expectedBytes) !== undefined;
    if (isAdded) {
      assembly.pieces.push(Uint8Array.from(piece.bytes));
      assembly.receivedBytes += expectedBytes;
    }
    if (assembly.receivedBytes < totalBytes)
      return { kind: "partial", receivedBytes: assembly.receivedBytes, isAdded };
    return this.finish(assembly);
  }

  /** Drops what was received of a snapshot that ends at an index or before; returns whether there was any. */
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
