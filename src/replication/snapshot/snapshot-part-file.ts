/** The file of the pieces of a snapshot that is being received. */
import * as r from "restructure";
import { decodeExactly } from "../../rpc/frame.js";
import type { Disk } from "../../runtime/disk.js";
import type { Task } from "../../runtime/task.js";
import { readRecords, withChecksum } from "../log/checksum.js";
import type { SnapshotPiece } from "./snapshot-sender.js";

const FILE_NAME = "snapshot-part";

const pieceLayout = new r.Struct({
  lastIndex: r.uint32,
  lastTerm: r.uint32,
  totalBytes: r.uint32,
  checksum: r.uint32,
  offset: r.uint32,
  bytes: new r.Buffer(r.uint32),
});

/**
 * The received pieces of a snapshot on disk, so that a restarted member continues the transfer. Nothing depends on the file:
 * the text is checked as a whole before it is installed, and what is incomplete or missing is sent again.
 */
export class SnapshotPartFile {
  private readonly disk: Disk;
  private loaded: SnapshotPiece[] = [];

  constructor(disk: Disk) {
    this.disk = disk;
  }

  /** Adds a piece; the first one of a snapshot replaces the file. */
  *add(piece: SnapshotPiece): Task {
    const { lastIndex, lastTerm, totalBytes, checksum, offset, bytes } = piece;
    const record = withChecksum(
      pieceLayout.toBuffer({ lastIndex, lastTerm, totalBytes, checksum, offset, bytes }),
    );
    if (offset === 0) yield* this.disk.write(FILE_NAME, record);
    else yield* this.disk.append(FILE_NAME, record);
  }

  /** Reads the pieces in the file, up to the first that is incomplete. */
  *load(names: readonly string[]): Task {
    this.loaded = [];
    if (!names.includes(FILE_NAME)) return;
    const bytes = Buffer.from((yield* this.disk.read(FILE_NAME)) ?? Buffer.alloc(0));
    for (const { body } of readRecords(bytes)) this.loaded.push(decodeExactly(pieceLayout, body));
  }

  /** Returns the loaded pieces, once. */
  takeLoaded(): readonly SnapshotPiece[] {
    return this.loaded.splice(0);
  }

  /** Removes the file, if there is one. */
  *remove(): Task {
    if ((yield* this.disk.list()).includes(FILE_NAME)) yield* this.disk.remove(FILE_NAME);
  }
}
