import { Packed } from "../runtime/text-compression.js";
import { longText } from "./command.js";

/** A text in an answer between daemons: as it is, or packed where it is long, since links of small machines are slow. */
export interface TravellingText {
  readonly text?: string | undefined;
  /** Deflated, in base 64. */
  readonly packedText?: string | undefined;
}

export const TravellingText = {
  /** The form in which a text travels. */
  of: (text: string): TravellingText =>
    text.length > longText ? { packedText: Packed.of(text) } : { text },

  /** The text again; raises an error where it was packed and can't be read. */
  read: ({ text, packedText }: TravellingText): string =>
    packedText === undefined ? (text ?? "") : Packed.text(packedText),
};
