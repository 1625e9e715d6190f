/** The commands that daemons forward to the leader, with the codec of their text. */
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

/** The fields of every configuration change: its id, the version that it is based on and the version that it requests. */
const configChangeFields = {
  changeId: string(),
  base: optional(number()),
  version: optional(number()),
};

/** The shapes of the commands; kinds and field names are part of the protocol. */
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
    /** The sequence number of the heartbeat, per instance. */
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
  /** Reads an accepted configuration. */
  get: object({ kind: literal("get"), version: optional(number()) }),
  /** Lists the recent configurations and the journal. */
  history: object({ kind: literal("history") }),
  /** Claims an idempotency key for a request. */
  claim: object({
    kind: literal("claim"),
    scope: string(),
    bodyHash: string(),
    job: string(),
    /** The daemons that store the outcome of the request. */
    holders: optional(array(string())),
    /** The request whose claim this one takes over, since that request never ran and never will. */
    replaces: optional(string()),
  }),
  release: object({ kind: literal("release"), scope: string(), job: string() }),
  /** Adds a member again that lost its disk. */
  rejoin: object({ kind: literal("rejoin"), machine: string(), nonce: string() }),
  /** Adds a member again that was removed while it was unreachable. */
  join: object({ kind: literal("join"), machine: string(), fleet: string() }),
  /** Announces that a member is about to stop. */
  stopping: object({ kind: literal("stopping"), machine: string(), lastIndex: number() }),
  /** Requests the status of the cluster. */
  fleet: object({ kind: literal("fleet") }),
  /** Drains a backend for an operator. */
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
    throw new FrameError("cannot decompress the command", { cause: error });
  }
};

/** Decodes the text of a command; throws a `FrameError` where its kind is unknown or it can't be decompressed. */
export function readCommand(text: string): Command {
  const received: unknown = JSON.parse(text);
  const value = isCompressed(received) ? decompressCommand(received.packed) : received;
  const kind = kindField(value);
  if (!isCommandKind(kind)) throw new FrameError(`unknown command kind "${kind}"`);
  return isCommand(kind, value) ? value : commandShapes[kind].create(value);
}

/** Encodes a command as JSON, compressed where it is long. */
export function encodeCommand(command: Command): string {
  const text = JSON.stringify(command);
  return text.length > COMPRESSION_THRESHOLD_CHARS
    ? JSON.stringify({ packed: TextCompression.compress(text) })
    : text;
}
