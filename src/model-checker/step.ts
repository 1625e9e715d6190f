import {
  array,
  boolean,
  create,
  literal,
  number,
  object,
  string,
  union,
  type Infer,
} from "superstruct";

const stepShape = union([
  object({ kind: literal("advance"), ms: number(), paused: array(string()) }),
  object({ kind: literal("deliver"), message: string(), twice: boolean() }),
  object({ kind: literal("lose"), message: string() }),
  object({ kind: literal("sync"), member: string() }),
  object({ kind: literal("crash"), member: string(), keptWrites: number() }),
  object({ kind: literal("wipe"), member: string() }),
  object({ kind: literal("start"), member: string() }),
  object({ kind: literal("cut"), from: string(), to: string() }),
  object({ kind: literal("mend"), from: string(), to: string() }),
  object({ kind: literal("write"), member: string() }),
  object({ kind: literal("read"), member: string() }),
  object({ kind: literal("handOver"), member: string() }),
  object({ kind: literal("compact"), member: string() }),
  object({ kind: literal("demote"), member: string(), voter: string() }),
  object({ kind: literal("promote"), member: string(), learner: string() }),
]);

/**
 * One thing that happens to a group: time that goes on, a message that arrives or is lost, a write that reaches the
 * disk, a failure, a call. A list of steps is a trace; played again to the same group, it gives the same run.
 */
export type Step = Infer<typeof stepShape>;

/** A trace as a file: one step a line. */
export const formatSteps = (steps: readonly Step[]): string =>
  steps.map((step) => JSON.stringify(step)).join("\n");

/** The steps of such a file; lines that begin with # are comments. */
export const parseSteps = (text: string): Step[] =>
  text
    .split("\n")
    .filter((line) => line.trim() !== "" && !line.startsWith("#"))
    .map((line) => create(JSON.parse(line), stepShape));
