/** Compression of long texts inside JSON. */
import { deflateRawSync, inflateRawSync } from "node:zlib";

/** How large a decompressed text may be: as large as the body of a frame. */
const MAX_TEXT_BYTES = 64 * 1024 * 1024;

/** Texts deflated and in base 64. */
export const TextCompression = {
  compress: (text: string): string =>
    deflateRawSync(Buffer.from(text, "utf8"), { level: 3 }).toString("base64"),
  /** Throws where the compressed text is damaged, or decompressed larger than a frame may be. */
  decompress: (compressed: string): string =>
    inflateRawSync(Buffer.from(compressed, "base64"), { maxOutputLength: MAX_TEXT_BYTES }).toString(
      "utf8",
    ),
};
