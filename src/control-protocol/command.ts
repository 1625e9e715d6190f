/** The commands that daemons forward to the leader, with the codec of the text in which they travel. */
import {
  array,
  boolean,
  literal,
  number,
  object,
  optional,
  string,
  unknown,
  type Infer,
} from "superstruct";
import { itemsShape, namesShape } from "../configuration/config-changes.js";
import { FrameError } from "../rpc/frame.js";
import { matchesStruct } from "../runtime/fast-validator.js";
import { kindField } from "../runtime/kind-of.js";
import { TextCompression } from "../runtime/text-compression.js";
import { COMPRESSION_THRESHOLD_CHARS } from "./compressed-text.js";

/** The fields of every configuration change: its id, the version that it builds on and the version that it is to get. */
const configChangeFields = {
  changeId: string(),
  base: optional(number()),
  version: optional(number()),
};

/** The shapes of the commands; kinds and field names travel. */
const commandShapes = {
  /** A backend's heartbeat. */
  announce: object({
    kind: literal("announce"),
    address: string(),
    service: string(),
    zone: string(),
    warmth: number(),
    /** The sequence of the registrations at the daemon that forwards the heartbeat. */
    seen: number(),
    instance: optional(string()),
    capacity: optional(number()),
    warmMs: optional(number()),
    /** The sequence of the heartbeat among those of its instance. */
    order: optional(number()),
    draining: optional(boolean()),
  }),
  /** A backend deregisters, identified by its instance, or by its address and service. */
  leave: object({
    kind: literal("leave"),
    address: optional(string()),
    service: optional(string()),
    instance: optional(string()),
  }),
  /** Replaces the configuration. */
  put: object({ kind: literal("put"), ...configChangeFields, value: unknown() }),
  /** Applies a merge patch to the configuration. */
  patch: object({ kind: literal("patch"), ...configChangeFields, value: unknown() }),
  /** Replaces and removes items of the configuration. */
  amend: object({
    kind: literal("amend"),
    ...configChangeFields,
    put: itemsShape,
    remove: namesShape,
  }),
  /** Reads an accepted configuration back. */
  get: object({ kind: literal("get"), version: optional(number()) }),
  /** Lists the recent configurations and the journal. */
  history: object({ kind: literal("history") }),
  /** Claims an idempotency key for a request. */
  claim: object({
    kind: literal("claim"),
    scope: string(),
    bodyHash: string(),
    job: string(),
    /** The daemons that will know the outcome of the request. */
    holders: optional(array(string())),
    /** The request whose claim this one takes over, since it never ran and never will. */
    replaces: optional(string()),
  }),
  release: object({ kind: literal("release"), scope: string(), job: string() }),
  /** A member that lost its disk is added again. */
  rejoin: object({ kind: literal("rejoin"), machine: string(), nonce: string() }),
  /** A member that was removed while it was away is added again. */
  join: object({ kind: literal("join"), machine: string(), fleet: string() }),
  /** A member is about to stop. */
  stopping: object({ kind: literal("stopping"), machine: string(), lastIndex: number() }),
  /** Reports the status of the cluster. */
  fleet: object({ kind: literal("fleet") }),
  /** An operator drains a backend. */
  drainBackEnd: object({ kind: literal("drainBackEnd"), address: string() }),
};

/** A command for the leader. */
export type Command = Infer<(typeof commandShapes)[keyof typeof commandShapes]>;

/** A command that changes the configuration. */
export type ConfigCommand = Extract<Command, { kind: "put" | "patch" | "amend" }>;

const isCommandKind = (kind: string): kind is keyof typeof commandShapes =>
  Object.hasOwn(commandShapes, kind);

const isCommand = (kind: keyof typeof commandShapes, value: unknown): value is Command =>
  matchesStruct(commandShapes[kind], value);

const isCompressed = (value: unknown): value is { packed: string } =>
  typeof value === "object" &&
  value !== null &&
  "packed" in value &&
  typeof value.packed === "string";

const decompressCommand = (packed: string): unknown => {
  try {
    const value: unknown = JSON.parse(TextCompression.decompress(packed));
    return value;
  } catch (error) {
    throw new FrameError("A packed command can't be read.", { cause: error });
  }
};

/** Reads the text of a command; throws a `FrameError` where it is of an unknown kind or can't be decompressed. */
export function readCommand(text: string): Command {
  const received: unknown = JSON.parse(text);
  const value = isCompressed(received) ? decompressCommand(received.packed) : received;
  const kind = kindField(value);
  if (!isCommandKind(kind)) throw new FrameError(`No command is of the kind "${kind}".`);
  return isCommand(kind, value) ? value : commandShapes[kind].create(value);
}

/** The text in which a command travels: JSON, compressed where it is long. */
export function encodeCommand(command: Command): string {
  const text = JSON.stringify(command);
  return text.length > COMPRESSION_THRESHOLD_CHARS
    ? JSON.stringify({ packed: TextCompression.compress(text) })
    : text;
}
