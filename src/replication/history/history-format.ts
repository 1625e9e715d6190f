/** The layout of the files in which accepted configs are stored, and of the pieces in which they travel. */
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
 * The layout of a history file. `complete`: each record is a complete config (files of former builds, and pieces that
 * travel). `deltas`: the first record is complete, each later one is the change of the text since the record before it.
 */
export type HistoryLayout = "complete" | "deltas";

const deltaShape = assign(omit(acceptedConfigShape, ["text"]), object({ delta: textDeltaShape }));

/** The level that takes a third of the default one's time, for a few hundredths more bytes. */
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

/** The record of a complete config. */
export const encodeCompleteConfig = (config: AcceptedConfig): Buffer =>
  encodeRecord(storedConfig(config));

/** The record of a config in a file of deltas, behind the previous one of that file, if any. */
export const encodeNextConfig = (
  previous: AcceptedConfig | undefined,
  config: AcceptedConfig,
): Buffer =>
  previous === undefined ? encodeCompleteConfig(config) : encodeDelta(previous, config);

/** How many intact records begin a file, and how many bytes they take; they are counted without being inflated. */
export const measureRecords = (bytes: Buffer): { count: number; intactBytes: number } => {
  let count = 0;
  let intactBytes = 0;
  for (const { endOffset } of readRecords(bytes)) {
    count += 1;
    intactBytes = endOffset;
  }
  return { count, intactBytes };
};

/** The configs of a file one after another, from its first sequence on, until the end or the first damage. */
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
