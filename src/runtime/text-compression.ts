/** Compression of long texts inside JSON. */
import { deflateRawSync, inflateRawSync } from "node:zlib";

/** Maximum size of a decompressed text: that of a frame body. */
const MAX_TEXT_BYTES = 64 * 1024 * 1024;

/** Compression of texts to base64 by deflate. */
export const TextCompression = {
  /** Compresses a text. */
  compress: (text: string): string =>
    deflateRawSync(Buffer.from(text, "utf8"), { level: 3 }).toString("base64"),
  /** Decompresses a text; throws if it is damaged or exceeds `MAX_TEXT_BYTES` when decompressed. */
  decompress: (compressed: string): string =>
    inflateRawSync(Buffer.from(compressed, "base64"), { maxOutputLength: MAX_TEXT_BYTES }).toString(
      "utf8",
    ),
};
