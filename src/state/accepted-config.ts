/** Accepted configurations, with the codec of their stored form. */
import { number, object, optional, string, type Infer } from "superstruct";
import type { TextDelta } from "./text-delta.js";

/** The stored shape of an accepted configuration. */
export const acceptedConfigShape = object({
  sequence: number(),
  version: optional(number()),
  index: number(),
  changeId: string(),
  acceptedAt: string(),
  text: string(),
});

/** An accepted configuration; its version is omitted where it equals its sequence. */
export type AcceptedConfig = Infer<typeof acceptedConfigShape> & {
  /** The delta from the previous text, where the log entry contains it; in memory only. */
  readonly delta?: TextDelta;
};

/** The sequence of a configuration, and its version where it differs from the sequence. */
export type ConfigNumbers = Pick<AcceptedConfig, "sequence" | "version">;

/** The stored form of a configuration, without the fields that exist in memory only. */
export const storedConfig = ({
  sequence,
  version,
  index,
  changeId,
  acceptedAt,
  text,
}: AcceptedConfig): Infer<typeof acceptedConfigShape> => ({
  sequence,
  ...(version === undefined ? {} : { version }),
  index,
  changeId,
  acceptedAt,
  text,
});

/** The version of a configuration, as operators see it; versions always increase. */
export const versionOf = ({ sequence, version }: ConfigNumbers): number => version ?? sequence;

/** The stored numbers of a configuration. */
export const configNumbers = (sequence: number, version: number): ConfigNumbers =>
  version === sequence ? { sequence } : { sequence, version };
