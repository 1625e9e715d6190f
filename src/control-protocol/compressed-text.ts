import { TextCompression } from "../runtime/text-compression.js";
import { COMPRESSION_THRESHOLD_CHARS } from "./command.js";

/** A text in an answer between daemons: as it is, or packed where it is long, since links of small machines are slow. */
export interface CompressedText {
  readonly text?: string | undefined;
  /** Deflated, in base 64. */
  readonly packedText?: string | undefined;
}

export const CompressedText = {
  /** The form in which a text travels. */
  of: (text: string): CompressedText =>
    text.length > COMPRESSION_THRESHOLD_CHARS
      ? { packedText: TextCompression.compress(text) }
      : { text },

  /** The text again; raises an error where it was packed and can't be read. */
  read: ({ text, packedText }: CompressedText): string =>
    packedText === undefined ? (text ?? "") : TextCompression.decompress(packedText),
};
