/** The commands of the replicated log, with the codec of their stored form; kinds and field names are stored. */
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
  /** A member became the leader of a term. */
  leads: object({ kind: literal("leads"), machine: string(), term: number() }),
  members: object({ kind: literal("members"), voters: array(string()), learners: array(string()) }),
  rejoined: object({ kind: literal("rejoined"), machine: string(), nonce: string() }),
  /** Accepts a configuration, if it is based on the active one. */
  config: object({
    kind: literal("config"),
    expected: number(),
    version: optional(number()),
    changeId: string(),
    acceptedAt: string(),
    ...configPayloadFields,
    /** All active names; omitted in entries that contain the changes of names. */
    services: optional(array(string())),
    routes: optional(array(string())),
    /** The added and removed names of services and routes, by which ids are allocated. */
    names: optional(object({ added: array(string()), removed: array(string()) })),
    /** Ids whose quarantine is over, so that they can be allocated again. */
    rested: optional(array(number())),
  }),
  /** Registers a backend. */
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
  /** Deregisters a backend, or drains it for an operator. */
  leave: object({
    kind: literal("leave"),
    address: string(),
    service: string(),
    drained: boolean(),
    instance: optional(string()),
  }),
  /** Ends a registration that the backend didn't end itself. */
  end: object({ kind: literal("end"), address: string(), number: number(), why: string() }),
  /** Removes a registration that ended. */
  purge: object({ kind: literal("purge"), address: string(), number: number() }),
  /** Removes tombstones. */
  forgetGone: object({ kind: literal("forgetGone"), instances: array(string()) }),
  claim: object({
    kind: literal("claim"),
    scope: string(),
    bodyHash: string(),
    job: string(),
    holders: optional(array(string())),
    replaces: optional(string()),
  }),
  /** The outcome of a request with an idempotency key; only in logs of older builds. */
  settle: object({
    kind: literal("settle"),
    scope: string(),
    job: string(),
    verdict: union([literal("ran"), literal("mayHaveRun")]),
    /** The response; it is ignored. */
    return: optional(type({ code: number() })),
  }),
  release: object({ kind: literal("release"), scope: string(), job: string() }),
  /** Removes expired claims. */
  forget: object({ kind: literal("forget"), scopes: array(string()), upTo: number() }),
  /** Adds a line to the journal. */
  note: object({ kind: literal("note"), text: string() }),
  /** Registers an edge as a holder of retry capacity. */
  holder: object({ kind: literal("holder"), edge: string() }),
  /** Removes edges that no longer hold retry capacity. */
  holdersPast: object({ kind: literal("holdersPast"), edges: array(string()) }),
};

/** The command of a log entry, as it is stored. */
export type LogCommand = Infer<(typeof commandShapes)[keyof typeof commandShapes]>;

/** The log command with a kind. */
export type LogCommandOf<Kind extends LogCommand["kind"]> = Extract<LogCommand, { kind: Kind }>;

/** Thrown for a log entry of a kind that this build doesn't know; the member must not apply further entries. */
export class UnknownLogCommandError extends Error {
  readonly code = "UNKNOWN_LOG_COMMAND";

  constructor(readonly kind: string) {
    super(`unknown log command kind "${kind}"`);
  }
}

const isCommandKind = (kind: string): kind is keyof typeof commandShapes =>
  Object.hasOwn(commandShapes, kind);

const isCommand = (kind: keyof typeof commandShapes, value: unknown): value is LogCommand =>
  matchesStruct(commandShapes[kind], value);

/** The stored text of a command. */
export const encodeLogCommand = (command: LogCommand): string => JSON.stringify(command);

/** Decodes the stored text of a command; throws an `UnknownLogCommandError` where its kind is unknown. */
export function readLogCommand(text: string): LogCommand {
  const value: unknown = JSON.parse(text);
  const kind = kindField(value);
  if (!isCommandKind(kind)) throw new UnknownLogCommandError(kind);
  return isCommand(kind, value) ? value : commandShapes[kind].create(value);
}
