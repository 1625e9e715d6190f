/** Texts that travel between daemons, compressed where they are long, since the links of small machines are slow. */
import { TextCompression } from "../runtime/text-compression.js";

/** The length beyond which a text travels compressed, in characters. */
export const COMPRESSION_THRESHOLD_CHARS = 4096;

/** A text in a response, plain or compressed; the field names travel. */
export interface CompressedText {
  readonly text?: string | undefined;
  /** Deflated, in base 64. */
  readonly packedText?: string | undefined;
}

/** The form in which a text travels. */
export const encodeCompressedText = (text: string): CompressedText =>
  text.length > COMPRESSION_THRESHOLD_CHARS
    ? { packedText: TextCompression.compress(text) }
    : { text };

/** The text itself; throws an error where it was compressed and can't be read. */
export const readCompressedText = ({ text, packedText }: CompressedText): string =>
  packedText === undefined ? (text ?? "") : TextCompression.decompress(packedText);
