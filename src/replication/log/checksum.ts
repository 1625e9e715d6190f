/** Records that are preceded by their length and checksum, the format of all files of the replicated log. */
import { crc32 } from "node:zlib";

/** Size of the header before a record's body: its length and its CRC-32, 4 bytes each. */
export const CHECKSUM_HEADER_BYTES = 8;

/** A record's body, and the record's position in its file, in bytes. */
export interface ChecksummedRecord {
  readonly body: Buffer;
  readonly offset: number;
  readonly endOffset: number;
}

/** Encodes a record: the header, then the body. */
export const withChecksum = (body: Uint8Array): Uint8Array => {
  const header = Buffer.alloc(CHECKSUM_HEADER_BYTES);
  header.writeUInt32BE(body.length, 0);
  header.writeUInt32BE(crc32(body), 4);
  return Buffer.concat([header, body]);
};

/** Returns the body of the record at an offset; `undefined` if it is incomplete or damaged. */
export const readChecksummed = (bytes: Buffer, offset: number): Buffer | undefined => {
  const start = offset + CHECKSUM_HEADER_BYTES;
  if (start > bytes.length) return undefined;
  const end = start + bytes.readUInt32BE(offset);
  if (end > bytes.length || end === start) return undefined;
  const body = bytes.subarray(start, end);
  return crc32(body) === bytes.readUInt32BE(offset + 4) ? body : undefined;
};

/** Yields the records of a file, up to the first that is incomplete or damaged. */
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
