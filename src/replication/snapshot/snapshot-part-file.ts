/** The file that stores the received pieces of an incomplete snapshot. */
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
 * The received pieces of a snapshot on disk, so that a restarted member resumes the transfer. Correctness doesn't depend on
 * the file: the checksum of the whole text is verified before the installation, and the leader resends missing pieces.
 */
export class SnapshotPartFile {
  private readonly disk: Disk;
  private loaded: SnapshotPiece[] = [];

  constructor(disk: Disk) {
    this.disk = disk;
  }

  /** Appends a piece; the first piece of a snapshot replaces the file. */
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

  /** Returns the loaded pieces and releases them. */
  takeLoaded(): readonly SnapshotPiece[] {
    return this.loaded.splice(0);
  }

  /** Removes the file if it exists. */
  *remove(): Task {
    if ((yield* this.disk.list()).includes(FILE_NAME)) yield* this.disk.remove(FILE_NAME);
  }
}
