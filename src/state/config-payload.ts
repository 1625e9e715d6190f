import { optional, string } from "superstruct";
import { Packed } from "../runtime/text-compression.js";
import { TextDelta, textDeltaShape } from "./text-delta.js";

/** How long a delta or a text may be in the log and still be written as it is; longer ones are deflated. */
const longTextLength = 4096;

/** The fields by which an entry of the log carries the text of a configuration; exactly one of them is set. */
export const recordedTextFields = {
  text: optional(string()),
  /** The whole text, deflated, in base 64. */
  packedText: optional(string()),
  /** The change since the configuration in force that the entry builds on. */
  delta: optional(textDeltaShape),
  /** The same as JSON, deflated, in base 64. */
  packedDelta: optional(string()),
};

/** The text of a configuration as an entry of the log carries it. */
export interface RecordedText {
  readonly text?: string | undefined;
  readonly packedText?: string | undefined;
  readonly delta?: TextDelta | undefined;
  readonly packedDelta?: string | undefined;
}

/** A configuration's text, and the delta that made it where that is known. */
export interface ReadText {
  readonly text: string;
  readonly delta?: TextDelta;
}

/** Raised when an entry's text can't be put together; a member that meets one must not go on. */
export class RecordedTextError extends Error {}

const wholeText = (text: string): RecordedText =>
  text.length > longTextLength ? { packedText: Packed.of(text) } : { text };

const deltaIn = ({ delta, packedDelta }: RecordedText): TextDelta | undefined =>
  packedDelta === undefined ? delta : textDeltaShape.create(JSON.parse(Packed.text(packedDelta)));

const lengthOf = ({ text, packedText, packedDelta }: RecordedText): number =>
  (text ?? packedText ?? packedDelta ?? "").length;

export const RecordedText = {
  /** The shorter of a text itself and its change since the former one, deflated where it is long. */
  of(former: string | undefined, text: string): RecordedText {
    if (former === undefined) return wholeText(text);
    const delta = TextDelta.between(former, text);
    const json = JSON.stringify(delta);
    if (json.length <= longTextLength) return { delta };
    const packed = { packedDelta: Packed.of(json) };
    const whole = wholeText(text);
    return lengthOf(packed) < lengthOf(whole) ? packed : whole;
  },

  /** The text again; `former` is the one that the entry builds on. */
  read(recorded: RecordedText, former: string | undefined): ReadText {
    if (recorded.text !== undefined) return { text: recorded.text };
    if (recorded.packedText !== undefined) return { text: Packed.text(recorded.packedText) };
    const delta = deltaIn(recorded);
    if (delta === undefined || former === undefined)
      throw new RecordedTextError("An entry holds no text of a configuration, or no base for it.");
    return { text: TextDelta.apply(former, delta), delta };
  },
};
