/** The layout of the files that store accepted configs, and of the pieces that transmit them. */
import { deflateRawSync, inflateRawSync } from "node:zlib";
import { assign, create, object, omit } from "superstruct";
import {
  acceptedConfigShape,
  storedConfig,
  type AcceptedConfig,
} from "../../state/accepted-config.js";
import { computeTextDelta, applyTextDelta, textDeltaShape } from "../../state/text-delta.js";
import { readRecords, withChecksum } from "../log/checksum.js";

/**
 * The layout of a history file. `complete`: each record is a complete config (files of earlier builds, and transmitted
 * pieces). `deltas`: the first record is a complete config, each later one is the delta from the text of the previous one.
 */
export type HistoryLayout = "complete" | "deltas";

const deltaShape = assign(omit(acceptedConfigShape, ["text"]), object({ delta: textDeltaShape }));

/** Takes a third of the default level's time for a few percent more bytes. */
const DEFLATE_LEVEL = 3;

const encodeRecord = (value: unknown): Buffer => {
  const json = Buffer.from(JSON.stringify(value), "utf8");
  return Buffer.from(withChecksum(deflateRawSync(json, { level: DEFLATE_LEVEL })));
};

const decodeRecord = (body: Buffer): unknown => {
  const value: unknown = JSON.parse(inflateRawSync(body).toString("utf8"));
  return value;
};

const encodeDelta = (previous: AcceptedConfig, config: AcceptedConfig): Buffer => {
  const { text, delta, ...rest } = config;
  return encodeRecord({ ...rest, delta: delta ?? computeTextDelta(previous.text, text) });
};

const decodeDelta = (previous: AcceptedConfig, body: Buffer): AcceptedConfig => {
  const { delta, ...rest } = create(decodeRecord(body), deltaShape);
  return { ...rest, text: applyTextDelta(previous.text, delta) };
};

/** Encodes the record of a complete config. */
export const encodeCompleteConfig = (config: AcceptedConfig): Buffer =>
  encodeRecord(storedConfig(config));

/** Encodes the record of a config in a file of deltas; complete if the file has no previous config. */
export const encodeNextConfig = (
  previous: AcceptedConfig | undefined,
  config: AcceptedConfig,
): Buffer =>
  previous === undefined ? encodeCompleteConfig(config) : encodeDelta(previous, config);

/** Counts the intact records at the start of a file, and their bytes, without inflating them. */
export const measureRecords = (bytes: Buffer): { count: number; intactBytes: number } => {
  let count = 0;
  let intactBytes = 0;
  for (const { endOffset } of readRecords(bytes)) {
    count += 1;
    intactBytes = endOffset;
  }
  return { count, intactBytes };
};

/** Yields the configs of a file in order, up to its end or the first damaged record. */
export const readConfigs = function* (
  bytes: Buffer,
  firstSequence: number,
  layout: HistoryLayout,
): Generator<AcceptedConfig, void> {
  let previous: AcceptedConfig | undefined;
  let sequence = firstSequence;
  for (const { body } of readRecords(bytes)) {
    const config: AcceptedConfig =
      layout === "complete" || previous === undefined
        ? create(decodeRecord(body), acceptedConfigShape)
        : decodeDelta(previous, body);
    if (config.sequence !== sequence) return;
    yield config;
    previous = config;
    sequence += 1;
  }
};
