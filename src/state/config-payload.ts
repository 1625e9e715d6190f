import { optional, string } from "superstruct";
import { TextCompression } from "../runtime/text-compression.js";
import { TextDelta, textDeltaShape } from "./text-delta.js";

/** How long a delta or a text may be in the log and still be written as it is; longer ones are deflated. */
const longTextLength = 4096;

/** The fields by which an entry of the log carries the text of a configuration; exactly one of them is set. */
export const configPayloadFields = {
  text: optional(string()),
  /** The whole text, deflated, in base 64. */
  packedText: optional(string()),
  /** The change since the configuration in force that the entry builds on. */
  delta: optional(textDeltaShape),
  /** The same as JSON, deflated, in base 64. */
  packedDelta: optional(string()),
};

/** The text of a configuration as an entry of the log carries it. */
export interface ConfigPayload {
  readonly text?: string | undefined;
  readonly packedText?: string | undefined;
  readonly delta?: TextDelta | undefined;
  readonly packedDelta?: string | undefined;
}

/** A configuration's text, and the delta that made it where that is known. */
export interface DecodedConfigText {
  readonly text: string;
  readonly delta?: TextDelta;
}

/** Raised when an entry's text can't be put together; a member that meets one must not go on. */
export class ConfigPayloadError extends Error {}

const wholeText = (text: string): ConfigPayload =>
  text.length > longTextLength ? { packedText: TextCompression.compress(text) } : { text };

const deltaIn = ({ delta, packedDelta }: ConfigPayload): TextDelta | undefined =>
  packedDelta === undefined
    ? delta
    : textDeltaShape.create(JSON.parse(TextCompression.decompress(packedDelta)));

const lengthOf = ({ text, packedText, packedDelta }: ConfigPayload): number =>
  (text ?? packedText ?? packedDelta ?? "").length;

export const ConfigPayload = {
  /** The shorter of a text itself and its change since the former one, deflated where it is long. */
  of(former: string | undefined, text: string): ConfigPayload {
    if (former === undefined) return wholeText(text);
    const delta = TextDelta.between(former, text);
    const json = JSON.stringify(delta);
    if (json.length <= longTextLength) return { delta };
    const packed = { packedDelta: TextCompression.compress(json) };
    const whole = wholeText(text);
    return lengthOf(packed) < lengthOf(whole) ? packed : whole;
  },

  /** The text again; `former` is the one that the entry builds on. */
  read(recorded: ConfigPayload, former: string | undefined): DecodedConfigText {
    if (recorded.text !== undefined) return { text: recorded.text };
    if (recorded.packedText !== undefined)
      return { text: TextCompression.decompress(recorded.packedText) };
    const delta = deltaIn(recorded);
    if (delta === undefined || former === undefined)
      throw new ConfigPayloadError("An entry holds no text of a configuration, or no base for it.");
    return { text: TextDelta.apply(former, delta), delta };
  },
};
