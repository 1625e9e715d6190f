import * as r from "restructure";
import { decodeExactly } from "../../rpc/frame.js";
import type { Disk } from "../../runtime/disk.js";
import type { Task } from "../../runtime/task.js";
import { withChecksum, CHECKSUM_HEADER_BYTES, readChecksummed } from "../log/checksum.js";
import type { SnapshotPiece } from "./snapshot-sender.js";

const name = "snapshot-part";

const pieceLayout = new r.Struct({
  lastIndex: r.uint32,
  lastTerm: r.uint32,
  totalBytes: r.uint32,
  checksum: r.uint32,
  offset: r.uint32,
  bytes: new r.Buffer(r.uint32),
});

/**
 * The pieces of a snapshot that is being received, on disk, so that a restarted member goes on where it was. Nothing is
 * promised by it: the text is checked as a whole before it is installed, and what is torn or missing is sent again.
 */
export class SnapshotPartFile {
  private readonly disk: Disk;
  private loaded: SnapshotPiece[] = [];

  constructor(disk: Disk) {
    this.disk = disk;
  }

  /** Adds a piece; the first one of a snapshot replaces what is there. */
  *add(piece: SnapshotPiece): Task {
    const { lastIndex, lastTerm, totalBytes, checksum, offset, bytes } = piece;
    const record = withChecksum(
      pieceLayout.toBuffer({ lastIndex, lastTerm, totalBytes, checksum, offset, bytes }),
    );
    if (offset === 0) yield* this.disk.write(name, record);
    else yield* this.disk.append(name, record);
  }

  /** Reads the pieces that are there, up to the first that is torn. */
  *load(names: readonly string[]): Task {
    this.loaded = [];
    if (!names.includes(name)) return;
    const bytes = Buffer.from((yield* this.disk.read(name)) ?? Buffer.alloc(0));
    let at = 0;
    for (
      let body = readChecksummed(bytes, at);
      body !== undefined;
      body = readChecksummed(bytes, at)
    ) {
      this.loaded.push(decodeExactly(pieceLayout, body));
      at += CHECKSUM_HEADER_BYTES + body.length;
    }
  }

  /** Gives what was loaded, once. */
  takeLoaded(): readonly SnapshotPiece[] {
    return this.loaded.splice(0);
  }

  /** Removes what is there. */
  *remove(): Task {
    if ((yield* this.disk.list()).includes(name)) yield* this.disk.remove(name);
  }
}
