import { crc32 } from "node:zlib";

/** How many bytes a seal adds: the length, and a checksum. */
export const CHECKSUM_HEADER_BYTES = 8;

/** A body behind its length and checksum. */
export const withChecksum = (body: Uint8Array): Uint8Array => {
  const head = Buffer.alloc(CHECKSUM_HEADER_BYTES);
  head.writeUInt32BE(body.length, 0);
  head.writeUInt32BE(crc32(body), 4);
  return Buffer.concat([head, body]);
};

/** The body whose seal begins at a place; `undefined` where it is cut short or damaged. */
export const readChecksummed = (bytes: Buffer, at: number): Buffer | undefined => {
  if (at + CHECKSUM_HEADER_BYTES > bytes.length) return undefined;
  const end = at + CHECKSUM_HEADER_BYTES + bytes.readUInt32BE(at);
  if (end > bytes.length || end === at + CHECKSUM_HEADER_BYTES) return undefined;
  const body = bytes.subarray(at + CHECKSUM_HEADER_BYTES, end);
  return crc32(body) === bytes.readUInt32BE(at + 4) ? body : undefined;
};
