/** Configurations as they were accepted, with the codec of their stored form. */
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

/** A configuration as it was accepted; its version is left out where it equals its sequence. */
export type AcceptedConfig = Infer<typeof acceptedConfigShape> & {
  /** How its text was made from the one before, where the log entry contained that; in memory only. */
  readonly delta?: TextDelta;
};

/** The sequence of a configuration, and its version where that differs. */
export type ConfigNumbers = Pick<AcceptedConfig, "sequence" | "version">;

/** The stored form of a configuration: without the fields that are in memory only. */
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

/** The version under which operators know a configuration: always above the one before. */
export const versionOf = ({ sequence, version }: ConfigNumbers): number => version ?? sequence;

/** The stored numbers of a configuration. */
export const configNumbers = (sequence: number, version: number): ConfigNumbers =>
  version === sequence ? { sequence } : { sequence, version };
