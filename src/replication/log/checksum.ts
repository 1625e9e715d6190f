/** Records behind their length and checksum, as in all files of the replicated log. */
import { crc32 } from "node:zlib";

/** How many bytes precede a record's body: its length and its checksum. */
export const CHECKSUM_HEADER_BYTES = 8;

/** A record's body, and where the record is in its file. */
export interface ChecksummedRecord {
  readonly body: Buffer;
  readonly offset: number;
  readonly endOffset: number;
}

/** A body behind its length and checksum. */
export const withChecksum = (body: Uint8Array): Uint8Array => {
  const head = Buffer.alloc(CHECKSUM_HEADER_BYTES);
  head.writeUInt32BE(body.length, 0);
  head.writeUInt32BE(crc32(body), 4);
  return Buffer.concat([head, body]);
};

/** The body of the record at an offset; `undefined` where it is incomplete or damaged. */
export const readChecksummed = (bytes: Buffer, offset: number): Buffer | undefined => {
  const start = offset + CHECKSUM_HEADER_BYTES;
  if (start > bytes.length) return undefined;
  const end = start + bytes.readUInt32BE(offset);
  if (end > bytes.length || end === start) return undefined;
  const body = bytes.subarray(start, end);
  return crc32(body) === bytes.readUInt32BE(offset + 4) ? body : undefined;
};

/** The records that begin a file, up to the first that is incomplete or damaged. */
export const readRecords = function* (bytes: Buffer): Generator<ChecksummedRecord, void> {
  let offset = 0;
  for (;;) {
    const body = readChecksummed(bytes, offset);
    if (body === undefined) return;
    const endOffset = offset + CHECKSUM_HEADER_BYTES + body.length;
    yield { body, offset, endOffset };
    offset = endOffset;
  }
};
