import { deflateRawSync, inflateRawSync } from "node:zlib";
import { create, omit, assign, object } from "superstruct";
import {
  acceptedConfigShape,
  storedConfig,
  type AcceptedConfig,
} from "../../state/state-machine.js";
import { withChecksum, CHECKSUM_HEADER_BYTES, readChecksummed } from "../log/checksum.js";
import { TextDelta, textDeltaShape } from "../../state/text-delta.js";

/**
 * The layout of a history file. `whole`: each record is a config by itself (files of former builds, and pieces that travel).
 * `changes`: the first record is whole, each later one is the change of the text since the record before it.
 */
export type HistoryLayout = "whole" | "changes";

const changeShape = assign(omit(acceptedConfigShape, ["text"]), object({ delta: textDeltaShape }));

/** The level that takes a third of the usual one's time, for a few hundredths more bytes. */
const deflateLevel = 3;

const sealedJson = (value: unknown): Buffer =>
  Buffer.from(
    withChecksum(
      deflateRawSync(Buffer.from(JSON.stringify(value), "utf8"), { level: deflateLevel }),
    ),
  );

const jsonOf = (body: Buffer): unknown => {
  const value: unknown = JSON.parse(inflateRawSync(body).toString("utf8"));
  return value;
};

/** The record of a change upon the config before it. */
const encodeChange = (former: AcceptedConfig, config: AcceptedConfig): Buffer => {
  const { text, delta, ...rest } = config;
  return sealedJson({ ...rest, delta: delta ?? TextDelta.between(former.text, text) });
};

const decodeChange = (former: AcceptedConfig, body: Buffer): AcceptedConfig => {
  const { delta, ...rest } = create(jsonOf(body), changeShape);
  return { ...rest, text: TextDelta.apply(former.text, delta) };
};

export const HistoryFormat = {
  /** The record of a config by itself. */
  whole(config: AcceptedConfig): Buffer {
    return sealedJson(storedConfig(config));
  },

  /** The record of a config that follows another in a file of changes. */
  following(former: AcceptedConfig | undefined, config: AcceptedConfig): Buffer {
    return former === undefined ? HistoryFormat.whole(config) : encodeChange(former, config);
  },

  /** How many whole records begin a file, and how many bytes they take; they are counted without being inflated. */
  measure(bytes: Buffer): { count: number; wholeBytes: number } {
    let count = 0;
    let at = 0;
    for (
      let body = readChecksummed(bytes, at);
      body !== undefined;
      body = readChecksummed(bytes, at)
    ) {
      count += 1;
      at += CHECKSUM_HEADER_BYTES + body.length;
    }
    return { count, wholeBytes: at };
  },

  /** The configs of a file one after another, from its first sequence on, until the end or the first damage. */
  *read(bytes: Buffer, first: number, layout: HistoryLayout): Generator<AcceptedConfig, void> {
    let former: AcceptedConfig | undefined;
    let sequence = first;
    let at = 0;
    for (
      let body = readChecksummed(bytes, at);
      body !== undefined;
      body = readChecksummed(bytes, at)
    ) {
      const config: AcceptedConfig =
        layout === "whole" || former === undefined
          ? create(jsonOf(body), acceptedConfigShape)
          : decodeChange(former, body);
      if (config.sequence !== sequence) return;
      yield config;
      former = config;
      sequence += 1;
      at += CHECKSUM_HEADER_BYTES + body.length;
    }
  },
};
