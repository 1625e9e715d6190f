/** Messages that carry counts up the aggregation tree and the merged counts down. They are sent as JSON with these field names. */
import {
  array,
  boolean,
  literal,
  number,
  object,
  optional,
  string,
  union,
  type Infer,
} from "superstruct";
import { fastValidator } from "../runtime/fast-validator.js";

/** Interval at which pushes include the counts by route besides those of attempts. */
export const ROUTE_COUNTS_INTERVAL_MS = 10_000;

/** Minimum delay between an expedited push and the previous one. */
export const EXPEDITED_PUSH_DELAY_MS = 250;

const childShape = object({ machine: string(), incarnation: string(), parentSequence: number() });

/** A child in the tree: a process, and the number of its parent changes. */
export type ChildReport = Infer<typeof childShape>;

const pushShape = object({
  from: string(),
  incarnation: string(),
  tier: union([literal("edge"), literal("collector")]),
  push: number(),
  parentSequence: number(),
  halfTripMs: number(),
  /** Children that a collector's sketch includes. */
  includes: array(childShape),
  /** Children that a collector requests to include. */
  wants: array(childShape),
  /** True if retries are requested, so that the counts are to be exchanged early. */
  isHurried: boolean(),
});

/** The message that a child sends to its parent in the tree, together with its sketch. */
export type CountPush = Infer<typeof pushShape>;

const aggregatedShape = object({
  /** Why the push was refused; empty if it was accepted. */
  taken: string(),
  /** Children that the root allows this collector to include. */
  granted: array(childShape),
  /** Number of the child's last push that the returned sketch includes. */
  includedPush: optional(number()),
  coverage: object({ edges: number(), oldestMs: number() }),
  /** Age of the returned sketch, in ms. */
  sinceMs: optional(number()),
});

/** The response of a parent to a push, sent together with the sketch of the cluster; a refusal carries no sketch. */
export type AggregatedCounts = Infer<typeof aggregatedShape>;

/** Number of edges that counts cover, and the age of the oldest of their counts. */
export type CountCoverage = AggregatedCounts["coverage"];

const readAggregated = fastValidator(aggregatedShape);
const readPush = fastValidator(pushShape);

/** Parses a push; throws if it doesn't match the shape. */
export const readCountPush = (text: string): CountPush => readPush(JSON.parse(text));

/** Parses the aggregated counts of a parent's response; throws if they don't match the shape. */
export const readAggregatedCounts = (text: string): AggregatedCounts =>
  readAggregated(JSON.parse(text));

/** Key of a child's process, independent of its parent. */
export const childKey = ({ machine, incarnation }: ChildReport): string =>
  `${machine} ${incarnation}`;

/** The child that sent a push. */
export const senderOf = ({ from, incarnation, parentSequence }: CountPush): ChildReport => ({
  machine: from,
  incarnation,
  parentSequence,
});

/** Whether two reports are of the same process, independent of its parent. */
export const isSameProcess = (a: ChildReport, b: ChildReport): boolean =>
  a.machine === b.machine && a.incarnation === b.incarnation;

/** Whether two reports are of the same process with the same parent. */
export const isSameChild = (a: ChildReport, b: ChildReport): boolean =>
  isSameProcess(a, b) && a.parentSequence === b.parentSequence;
