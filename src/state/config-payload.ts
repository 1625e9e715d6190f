/** The text of a configuration in a log entry: complete or as a delta, compressed where it is long. */
import { optional, string } from "superstruct";
import { TextCompression } from "../runtime/text-compression.js";
import { type TextDelta, computeTextDelta, applyTextDelta, textDeltaShape } from "./text-delta.js";

/** Length above which a text or a delta is stored compressed, in characters. */
const COMPRESSION_THRESHOLD_CHARS = 4096;

/** The stored fields of a configuration's text in a log entry; exactly one of them is set. */
export const configPayloadFields = {
  text: optional(string()),
  /** The complete text, deflated, in Base64. */
  packedText: optional(string()),
  /** The delta from the text of the active configuration, which the entry is based on. */
  delta: optional(textDeltaShape),
  /** The delta as JSON, deflated, in Base64. */
  packedDelta: optional(string()),
};

/** The text of a configuration as a log entry contains it. */
export interface ConfigPayload {
  readonly text?: string | undefined;
  readonly packedText?: string | undefined;
  readonly delta?: TextDelta | undefined;
  readonly packedDelta?: string | undefined;
}

/** A configuration's text, and the delta from the previous text where the entry contains it. */
export interface DecodedConfigText {
  readonly text: string;
  readonly delta?: TextDelta;
}

/** Thrown when a configuration can't be decoded from its log entry; the member must not apply further entries. */
export class ConfigPayloadError extends Error {
  readonly code = "INVALID_CONFIG_PAYLOAD";
}

const encodeWholeText = (text: string): ConfigPayload =>
  text.length > COMPRESSION_THRESHOLD_CHARS
    ? { packedText: TextCompression.compress(text) }
    : { text };

const decodeDelta = ({ delta, packedDelta }: ConfigPayload): TextDelta | undefined =>
  packedDelta === undefined
    ? delta
    : textDeltaShape.create(JSON.parse(TextCompression.decompress(packedDelta)));

const payloadLength = ({ text, packedText, packedDelta }: ConfigPayload): number =>
  (text ?? packedText ?? packedDelta ?? "").length;

/** Encodes a text as itself or as its delta from the previous text, whichever is shorter, compressed where it is long. */
export function encodeConfigPayload(previousText: string | undefined, text: string): ConfigPayload {
  if (previousText === undefined) return encodeWholeText(text);
  const delta = computeTextDelta(previousText, text);
  const json = JSON.stringify(delta);
  if (json.length <= COMPRESSION_THRESHOLD_CHARS) return { delta };
  const compressed = { packedDelta: TextCompression.compress(json) };
  const whole = encodeWholeText(text);
  return payloadLength(compressed) < payloadLength(whole) ? compressed : whole;
}

/** Decodes a text; `previousText` is the text that the entry is based on. */
export function decodeConfigPayload(
  payload: ConfigPayload,
  previousText: string | undefined,
): DecodedConfigText {
  if (payload.text !== undefined) return { text: payload.text };
  if (payload.packedText !== undefined)
    return { text: TextCompression.decompress(payload.packedText) };
  const delta = decodeDelta(payload);
  if (delta === undefined || previousText === undefined)
    throw new ConfigPayloadError(
      delta === undefined
        ? "the log entry contains neither the text of a configuration nor a delta"
        : "the log entry contains a delta, but there is no active configuration to apply it to",
    );
  return { text: applyTextDelta(previousText, delta), delta };
}
