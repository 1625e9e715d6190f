/** The form in which a log entry carries the text of a configuration: whole or as a delta, compressed where it is long. */
import { optional, string } from "superstruct";
import { TextCompression } from "../runtime/text-compression.js";
import { type TextDelta, computeTextDelta, applyTextDelta, textDeltaShape } from "./text-delta.js";

/** The length beyond which a text or a delta is stored compressed, in characters. */
const COMPRESSION_THRESHOLD_CHARS = 4096;

/** The stored fields of a configuration's text in a log entry; exactly one of them is set. */
export const configPayloadFields = {
  text: optional(string()),
  /** The whole text, deflated, in base 64. */
  packedText: optional(string()),
  /** The delta from the active configuration that the entry builds on. */
  delta: optional(textDeltaShape),
  /** The delta as JSON, deflated, in base 64. */
  packedDelta: optional(string()),
};

/** The text of a configuration as a log entry carries it. */
export interface ConfigPayload {
  readonly text?: string | undefined;
  readonly packedText?: string | undefined;
  readonly delta?: TextDelta | undefined;
  readonly packedDelta?: string | undefined;
}

/** A configuration's text, and the delta that made it, where the entry carried one. */
export interface DecodedConfigText {
  readonly text: string;
  readonly delta?: TextDelta;
}

/** Raised when the text of a log entry can't be restored; the member must not go on. */
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

/** The shorter of a text and its delta from the former text, compressed where it is long. */
export function encodeConfigPayload(former: string | undefined, text: string): ConfigPayload {
  if (former === undefined) return encodeWholeText(text);
  const delta = computeTextDelta(former, text);
  const json = JSON.stringify(delta);
  if (json.length <= COMPRESSION_THRESHOLD_CHARS) return { delta };
  const compressed = { packedDelta: TextCompression.compress(json) };
  const whole = encodeWholeText(text);
  return payloadLength(compressed) < payloadLength(whole) ? compressed : whole;
}

/** The text itself; `former` is the one that the entry builds on. */
export function decodeConfigPayload(
  payload: ConfigPayload,
  former: string | undefined,
): DecodedConfigText {
  if (payload.text !== undefined) return { text: payload.text };
  if (payload.packedText !== undefined)
    return { text: TextCompression.decompress(payload.packedText) };
  const delta = decodeDelta(payload);
  if (delta === undefined || former === undefined)
    throw new ConfigPayloadError("An entry holds no text of a configuration, or no base for it.");
  return { text: applyTextDelta(former, delta), delta };
}
