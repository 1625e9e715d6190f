import { crc32, inflateRawSync } from "node:zlib";
import {
  SNAPSHOT_PIECE_BYTES,
  type SnapshotIdentity,
  type SnapshotPiece,
} from "./snapshot-sender.js";

/** The largest snapshot that is taken. */
const maxSnapshotBytes = 64 * 1024 * 1024;

/** How a piece was taken: more is wanted, or the text is whole. */
export type SnapshotReceived =
  | {
      readonly kind: "partial";
      readonly receivedBytes: number;
      /** Whether this piece was added to what is held. */
      readonly isAdded: boolean;
    }
  | { readonly kind: "whole"; readonly text: string };

/** What has been received of one snapshot. */
interface Assembly {
  readonly identity: SnapshotIdentity;
  readonly pieces: Uint8Array[];
  receivedBytes: number;
}

const isSame = (one: SnapshotIdentity, other: SnapshotIdentity): boolean =>
  one.lastIndex === other.lastIndex &&
  one.lastTerm === other.lastTerm &&
  one.totalBytes === other.totalBytes &&
  one.checksum === other.checksum;

/** The text of a piece, or nothing where its bytes are no piece that fits. */
const inflated = (bytes: Uint8Array, wantedBytes: number): Buffer | undefined => {
  try {
    const text = inflateRawSync(bytes, { maxOutputLength: SNAPSHOT_PIECE_BYTES });
    return text.length === wantedBytes ? text : undefined;
  } catch {
    return undefined;
  }
};

/** Puts a snapshot together from its pieces, one snapshot at a time; the pieces are held as they came, deflated. */
export class SnapshotReceiver {
  private assembly: Assembly | undefined;

  /** How much of the snapshot that is being received is held. */
  get receivedBytes(): number {
    return this.assembly?.receivedBytes ?? 0;
  }

  /** Takes a piece. One that doesn't follow what is held changes nothing; one of another snapshot begins anew. */
  take(piece: SnapshotPiece): SnapshotReceived {
    const { lastIndex, lastTerm, totalBytes, checksum } = piece;
    if (totalBytes > maxSnapshotBytes) return { kind: "partial", receivedBytes: 0, isAdded: false };
    if (!this.assembly || !isSame(this.assembly.identity, piece))
      this.assembly = {
        identity: { lastIndex, lastTerm, totalBytes, checksum },
        pieces: [],
        receivedBytes: 0,
      };
    const { assembly } = this;
    const wantedBytes = Math.min(SNAPSHOT_PIECE_BYTES, totalBytes - assembly.receivedBytes);
    const follows = piece.bytes.length > 0 && piece.offset === assembly.receivedBytes;
    const isAdded = follows && inflated(piece.bytes, wantedBytes) !== undefined;
    if (isAdded) {
      assembly.pieces.push(Uint8Array.from(piece.bytes));
      assembly.receivedBytes += wantedBytes;
    }
    if (assembly.receivedBytes < totalBytes)
      return { kind: "partial", receivedBytes: assembly.receivedBytes, isAdded };
    return this.finish(assembly);
  }

  /** Drops what is held of a snapshot that ends at an index or before; tells whether there was any. */
  dropUpTo(index: number): boolean {
    if (!this.assembly || this.assembly.identity.lastIndex > index) return false;
    this.assembly = undefined;
    return true;
  }

  private finish({ pieces, identity }: Assembly): SnapshotReceived {
    this.assembly = undefined;
    const bytes = Buffer.concat(pieces.map((piece) => inflateRawSync(piece)));
    return crc32(bytes) === identity.checksum
      ? { kind: "whole", text: bytes.toString("utf8") }
      : { kind: "partial", receivedBytes: 0, isAdded: false };
  }
}
