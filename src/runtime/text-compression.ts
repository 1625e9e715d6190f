import { deflateRawSync, inflateRawSync } from "node:zlib";

const mostBytes = 64 * 1024 * 1024;

/** Long texts as they travel: deflated, in base 64. */
export const TextCompression = {
  compress: (text: string): string =>
    deflateRawSync(Buffer.from(text, "utf8"), { level: 3 }).toString("base64"),
  /** Raises an error where the packed text can't be read or is larger than a frame may be. */
  decompress: (packed: string): string =>
    inflateRawSync(Buffer.from(packed, "base64"), { maxOutputLength: mostBytes }).toString("utf8"),
};
