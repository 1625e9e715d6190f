/** The messages that carry counts up the tree of collectors and the merged counts down. Their field names travel as JSON. */
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

/** How often counts by route travel along with those of attempts. */
export const ROUTE_COUNTS_INTERVAL_MS = 10_000;

/** How long an expedited push waits after the last one. */
export const EXPEDITED_PUSH_DELAY_MS = 250;

const childShape = object({ machine: string(), incarnation: string(), parentSequence: number() });

/** An edge as the tree counts it: a process, and how often it has changed its parent. */
export type ChildReport = Infer<typeof childShape>;

const pushShape = object({
  from: string(),
  incarnation: string(),
  tier: union([literal("edge"), literal("collector")]),
  push: number(),
  parentSequence: number(),
  halfTripMs: number(),
  /** A collector's children that its sketch includes, and those that it would like to include. */
  includes: array(childShape),
  wants: array(childShape),
  /** Set where retries are requested, so that counts had better be exchanged soon. */
  isHurried: boolean(),
});

/** What goes up with a sketch. */
export type CountPush = Infer<typeof pushShape>;

const aggregatedShape = object({
  /** Why the push was refused; empty where it was taken. */
  taken: string(),
  /** Children that the root lets this collector include. */
  granted: array(childShape),
  /** The child's last push that the returned sketch includes. */
  includedPush: optional(number()),
  coverage: object({ edges: number(), oldestMs: number() }),
  /** Age of the returned sketch. */
  sinceMs: optional(number()),
});

/** What comes down with the cluster's sketch. */
export type AggregatedCounts = Infer<typeof aggregatedShape>;

/** How many edges counts cover, and how old the oldest of these edges' counts are. */
export type CountCoverage = AggregatedCounts["coverage"];

const readAggregated = fastValidator(aggregatedShape);
const readPush = fastValidator(pushShape);

/** Reads a push; throws where it isn't of the shape. */
export const readCountPush = (text: string): CountPush => readPush(JSON.parse(text));

/** Reads the aggregated counts that a parent returned; throws where they aren't of the shape. */
export const readAggregatedCounts = (text: string): AggregatedCounts =>
  readAggregated(JSON.parse(text));

/** The process of a child, whichever parent it has. */
export const childKey = ({ machine, incarnation }: ChildReport): string =>
  `${machine} ${incarnation}`;

/** The child that sent a push. */
export const senderOf = ({ from, incarnation, parentSequence }: CountPush): ChildReport => ({
  machine: from,
  incarnation,
  parentSequence,
});

/** Whether two reports name the same process, whichever parent it has. */
export const isSameProcess = (one: ChildReport, other: ChildReport): boolean =>
  one.machine === other.machine && one.incarnation === other.incarnation;

/** Whether two reports name the same process under the same parent. */
export const isSameChild = (one: ChildReport, other: ChildReport): boolean =>
  isSameProcess(one, other) && one.parentSequence === other.parentSequence;
