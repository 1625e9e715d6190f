import { crc32 } from "node:zlib";

/** How many bytes a seal adds: the length, and a checksum. */
export const sealBytes = 8;

/** A body behind its length and checksum. */
export const seal = (body: Uint8Array): Uint8Array => {
  const head = Buffer.alloc(sealBytes);
  head.writeUInt32BE(body.length, 0);
  head.writeUInt32BE(crc32(body), 4);
  return Buffer.concat([head, body]);
};

/** The body whose seal begins at a place; `undefined` where it is cut short or damaged. */
export const unseal = (bytes: Buffer, at: number): Buffer | undefined => {
  if (at + sealBytes > bytes.length) return undefined;
  const end = at + sealBytes + bytes.readUInt32BE(at);
  if (end > bytes.length || end === at + sealBytes) return undefined;
  const body = bytes.subarray(at + sealBytes, end);
  return crc32(body) === bytes.readUInt32BE(at + 4) ? body : undefined;
};
