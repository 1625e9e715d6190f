/** Texts in messages between daemons. Long texts are compressed, since the links of small machines are slow. */
import { TextCompression } from "../runtime/text-compression.js";

/** Length above which a text is compressed, in characters. */
export const COMPRESSION_THRESHOLD_CHARS = 4096;

/** A text in a response, plain or compressed; the field names are part of the protocol. */
export interface CompressedText {
  readonly text?: string | undefined;
  /** The deflated text in Base64. */
  readonly packedText?: string | undefined;
}

/** Encodes a text, compressed where it is long. */
export const encodeCompressedText = (text: string): CompressedText =>
  text.length > COMPRESSION_THRESHOLD_CHARS
    ? { packedText: TextCompression.compress(text) }
    : { text };

/** Decodes a text; throws an error where it can't be decompressed. */
export const readCompressedText = ({ text, packedText }: CompressedText): string =>
  packedText === undefined ? (text ?? "") : TextCompression.decompress(packedText);
