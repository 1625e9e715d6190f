/** The commands of the replicated log with the codec of their stored form; their kinds and field names are stored. */
import {
  array,
  boolean,
  literal,
  number,
  object,
  optional,
  string,
  type,
  union,
  type Infer,
} from "superstruct";
import { matchesStruct } from "../runtime/fast-validator.js";
import { kindField } from "../runtime/kind-of.js";
import { configPayloadFields } from "./config-payload.js";

const commandShapes = {
  /** A member leads in a term. */
  leads: object({ kind: literal("leads"), machine: string(), term: number() }),
  members: object({ kind: literal("members"), voters: array(string()), learners: array(string()) }),
  rejoined: object({ kind: literal("rejoined"), machine: string(), nonce: string() }),
  /** A configuration is accepted, unless another one was since the one that it builds on. */
  config: object({
    kind: literal("config"),
    expected: number(),
    version: optional(number()),
    changeId: string(),
    acceptedAt: string(),
    ...configPayloadFields,
    /** All names in use; entries that contain only the changes of names leave them out. */
    services: optional(array(string())),
    routes: optional(array(string())),
    /** Names of services and routes, as ids are allocated to them, that come into use and that go out of use. */
    names: optional(object({ added: array(string()), removed: array(string()) })),
    /** Ids that have rested for long enough to be allocated again. */
    rested: optional(array(number())),
  }),
  /** A backend registers. */
  contract: object({
    kind: literal("contract"),
    address: string(),
    service: string(),
    zone: string(),
    warmth: number(),
    instance: optional(string()),
    capacity: optional(number()),
    warmMs: optional(number()),
    order: optional(number()),
  }),
  /** A backend deregisters, or is drained by an operator. */
  leave: object({
    kind: literal("leave"),
    address: string(),
    service: string(),
    drained: boolean(),
    instance: optional(string()),
  }),
  /** A registration ends without the backend's doing. */
  end: object({ kind: literal("end"), address: string(), number: number(), why: string() }),
  /** A registration that ended is removed. */
  purge: object({ kind: literal("purge"), address: string(), number: number() }),
  /** Tombstones are removed. */
  forgetGone: object({ kind: literal("forgetGone"), instances: array(string()) }),
  claim: object({
    kind: literal("claim"),
    scope: string(),
    bodyHash: string(),
    job: string(),
    holders: optional(array(string())),
    replaces: optional(string()),
  }),
  /** How a request with an idempotency key ended; only in logs of former builds. */
  settle: object({
    kind: literal("settle"),
    scope: string(),
    job: string(),
    verdict: union([literal("ran"), literal("mayHaveRun")]),
    /** The response itself; it is dropped. */
    return: optional(type({ code: number() })),
  }),
  release: object({ kind: literal("release"), scope: string(), job: string() }),
  /** Claims expire. */
  forget: object({ kind: literal("forget"), scopes: array(string()), upTo: number() }),
  /** A line for the journal. */
  note: object({ kind: literal("note"), text: string() }),
  /** An edge may hold retry capacity from now on. */
  holder: object({ kind: literal("holder"), edge: string() }),
  /** Edges hold no retry capacity any more. */
  holdersPast: object({ kind: literal("holdersPast"), edges: array(string()) }),
};

/** The command of a log entry, as it is stored. */
export type LogCommand = Infer<(typeof commandShapes)[keyof typeof commandShapes]>;

/** The log command of a kind. */
export type LogCommandOf<Kind extends LogCommand["kind"]> = Extract<LogCommand, { kind: Kind }>;

/** Raised when a log entry is of a kind that this build doesn't know; the member must not go on. */
export class UnknownLogCommandError extends Error {
  readonly code = "UNKNOWN_LOG_COMMAND";

  constructor(readonly kind: string) {
    super(`The log contains an entry of the unknown kind "${kind}".`);
  }
}

const isCommandKind = (kind: string): kind is keyof typeof commandShapes =>
  Object.hasOwn(commandShapes, kind);

const isCommand = (kind: keyof typeof commandShapes, value: unknown): value is LogCommand =>
  matchesStruct(commandShapes[kind], value);

/** The stored text of a command. */
export const encodeLogCommand = (command: LogCommand): string => JSON.stringify(command);

/** Reads the stored text of a command; throws an `UnknownLogCommandError` for one of an unknown kind. */
export function readLogCommand(text: string): LogCommand {
  const value: unknown = JSON.parse(text);
  const kind = kindField(value);
  if (!isCommandKind(kind)) throw new UnknownLogCommandError(kind);
  return isCommand(kind, value) ? value : commandShapes[kind].create(value);
}
