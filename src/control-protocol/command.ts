import { configShape, itemsShape, namesShape, type Config } from "../configuration/config.js";
import { edgePlacementShape } from "./edge-placement.js";
import { Validated } from "../configuration/validated.js";
import { FrameError } from "../rpc/frame.js";
import { kindField } from "../runtime/kind-of.js";
import { Registration } from "../state/state-machine.js";
import { TextCompression } from "../runtime/text-compression.js";
import { matchesStruct, fastValidator } from "../runtime/fast-validator.js";
import {
  array,
  boolean,
  create,
  define,
  literal,
  number,
  object,
  optional,
  string,
  type,
  union,
  unknown,
  type Infer,
} from "superstruct";

/** What every change of the config tells: who sends it, upon which version, and the version it is to have. */
const changeFields = { changeId: string(), base: optional(number()), version: optional(number()) };

const orderShapes = {
  announce: object({
    kind: literal("announce"),
    address: string(),
    service: string(),
    zone: string(),
    warmth: number(),
    seen: number(),
    instance: optional(string()),
    capacity: optional(number()),
    warmMs: optional(number()),
    order: optional(number()),
    draining: optional(boolean()),
  }),
  /** A back end that leaves is named by its instance, or by its address and service. */
  leave: object({
    kind: literal("leave"),
    address: optional(string()),
    service: optional(string()),
    instance: optional(string()),
  }),
  put: object({ kind: literal("put"), ...changeFields, value: unknown() }),
  patch: object({ kind: literal("patch"), ...changeFields, value: unknown() }),
  amend: object({ kind: literal("amend"), ...changeFields, put: itemsShape, remove: namesShape }),
  get: object({ kind: literal("get"), version: optional(number()) }),
  history: object({ kind: literal("history") }),
  claim: object({
    kind: literal("claim"),
    scope: string(),
    bodyHash: string(),
    job: string(),
    /** The daemons that will know what became of the request. */
    holders: optional(array(string())),
    /** The request whose claim this one takes over, since it never ran and never will. */
    replaces: optional(string()),
  }),
  release: object({ kind: literal("release"), scope: string(), job: string() }),
  rejoin: object({ kind: literal("rejoin"), machine: string(), nonce: string() }),
  join: object({ kind: literal("join"), machine: string(), fleet: string() }),
  stopping: object({ kind: literal("stopping"), machine: string(), lastIndex: number() }),
  fleet: object({ kind: literal("fleet") }),
  drainBackEnd: object({ kind: literal("drainBackEnd"), address: string() }),
};

/** A command for the leader, as daemons forwarder it. */
export type Command = Infer<(typeof orderShapes)[keyof typeof orderShapes]>;

/** A command that changes the config. */
export type ConfigCommand = Extract<Command, { kind: "put" | "patch" | "amend" }>;

const isOrderKind = (kind: string): kind is keyof typeof orderShapes =>
  Object.hasOwn(orderShapes, kind);

/** How long a text may be and still travel as it is. */
export const COMPRESSION_THRESHOLD_CHARS = 4096;

const isPacked = (value: unknown): value is { packed: string } =>
  typeof value === "object" &&
  value !== null &&
  "packed" in value &&
  typeof value.packed === "string";

const unpacked = (packed: string): unknown => {
  try {
    const value: unknown = JSON.parse(TextCompression.decompress(packed));
    return value;
  } catch (error) {
    throw new FrameError("A packed command can't be read.", { cause: error });
  }
};

const isOrder = (kind: keyof typeof orderShapes, value: unknown): value is Command =>
  matchesStruct(orderShapes[kind], value);

export const Command = {
  read(text: string): Command {
    const outer: unknown = JSON.parse(text);
    const value = isPacked(outer) ? unpacked(outer.packed) : outer;
    const kind = kindField(value);
    if (!isOrderKind(kind)) throw new FrameError(`No command is of the kind "${kind}".`);
    return isOrder(kind, value) ? value : orderShapes[kind].create(value);
  },
  /** As it travels; a long one is packed, since links of small machines are slow. */
  text(command: Command): string {
    const text = JSON.stringify(command);
    return text.length > COMPRESSION_THRESHOLD_CHARS
      ? JSON.stringify({ packed: TextCompression.compress(text) })
      : text;
  },
};

const machineShape = object({
  name: string(),
  zone: string(),
  roles: array(string()),
  peer: string(),
  incarnation: string(),
  draining: boolean(),
  /** Where it serves operators. */
  operators: optional(string()),
});

/** A machine as it shows itself to the fleet. */
export type DaemonInfo = Infer<typeof machineShape>;

const pollShape = object({
  machine: machineShape,
  configSequence: number(),
  directorySequence: number(),
  /** The newest grant of capacities that was taken, and what is held. */
  grantNumber: string(),
  capacities: array(object({ service: string(), capacity: number() })),
  /** Services with wishes for further tries; none for any other. */
  wished: array(object({ service: string(), count: number() })),
  /** The members that are known here, by their digest. */
  membersDigest: optional(string()),
  /** Contracts whose address refused a connection: nobody listens there. */
  refused: array(object({ address: string(), number: number() })),
  /** Contracts whose back ends announced themselves here since the last poll, with the newest order of each. */
  heard: optional(array(object({ number: number(), order: number() }))),
});

/** What an edge or collector sends to get a fresh view. */
export type WatchRequest = Infer<typeof pollShape>;

const numbersShape = define<Record<string, number>>(
  "numbers",
  (value) =>
    typeof value === "object" &&
    value !== null &&
    Object.values(value).every((one) => typeof one === "number"),
);

/** What changed since the configuration under `base`: items that are put whole, and the keys of items that went before that. */
const configUpdateShape = object({
  base: number(),
  put: define<Config>("items of a config", (value) => Validated.passes(configShape, value)),
  removed: array(string()),
  /** The numbers of services and routes that are new or have changed. */
  numbers: numbersShape,
});

/** The changes of a configuration, by item. */
export type ConfigUpdate = Infer<typeof configUpdateShape>;

const registrationsShape = define<Registration[]>("directory", Registration.areAll);

const membersShape = object({
  digest: string(),
  collectors: array(object({ zone: string(), peer: string() })),
  recorders: array(string()),
  /** Where members of the log that don't lead serve operators. */
  operators: optional(array(string())),
});

/** Whom a daemon reaches of the control plane: collectors and members of the replicated log. */
export type ControlPlanePeers = Infer<typeof membersShape>;

const viewShape = object({
  granted: literal(true),
  grantMs: number(),
  /** How often back ends should announce themselves. */
  announceMs: optional(number()),
  configSequence: number(),
  config: optional(string()),
  /** The same, packed where it is long. */
  packedConfig: optional(string()),
  /** What changed in it, where the daemon's own is known; packed where it is long. */
  configChanges: optional(configUpdateShape),
  packedConfigChanges: optional(string()),
  /** What the copy must add up to, once this is taken. */
  configDigest: optional(string()),
  /** The numbers of the services and routes that a whole config names. */
  numbers: optional(numbersShape),
  directorySequence: number(),
  /** All registrations; also packed where they are long. */
  directory: optional(registrationsShape),
  packedDirectory: optional(string()),
  /** What changed since the directory under `base`: registrations, and addresses that are no longer in it. */
  directoryChanges: optional(
    object({ base: number(), put: registrationsShape, removed: array(string()) }),
  ),
  /** What the copy must add up to, once this is taken. */
  directoryDigest: optional(string()),
  grantNumber: string(),
  /** What the grant of capacities says; left out where the poll named that grant. */
  capacities: optional(array(object({ service: string(), capacity: number() }))),
  /** The members of the control plane; left out where the poll named their digest. */
  members: optional(membersShape),
  /** The place of the edge that polled; left out until the leader has heard of all edges. */
  place: optional(edgePlacementShape),
});

/** The view that a poll returns: it is a grant to serve under it. */
export type LeasedView = Infer<typeof viewShape>;

const pollReturnShape = union([viewShape, object({ granted: literal(false), why: string() })]);

const readPoll = fastValidator(pollShape);
const readView = fastValidator(viewShape);
const readConfigUpdate = fastValidator(configUpdateShape);
const readRegistrations = fastValidator(registrationsShape);

/** A view whose directory, where it is packed, is unpacked. */
const unpackedView = (view: LeasedView): LeasedView =>
  view.packedDirectory === undefined
    ? view
    : {
        ...view,
        directory: readRegistrations(JSON.parse(TextCompression.decompress(view.packedDirectory))),
      };

export const WatchRequest = {
  read: (text: string): WatchRequest => readPoll(JSON.parse(text)),
  /** The changes of the configuration that a view tells, if any. */
  configUpdate: ({ configChanges, packedConfigChanges }: LeasedView): ConfigUpdate | undefined =>
    packedConfigChanges === undefined
      ? configChanges
      : readConfigUpdate(JSON.parse(TextCompression.decompress(packedConfigChanges))),
  readReturn(text: string): Infer<typeof pollReturnShape> {
    const value: unknown = JSON.parse(text);
    return typeof value === "object" &&
      value !== null &&
      "granted" in value &&
      value.granted === true
      ? unpackedView(readView(value))
      : create(value, pollReturnShape);
  },
};

const claimedShape = object({ claimed: literal(true) });
const readClaimed = fastValidator(claimedShape);
const claimReturnShape = union([
  claimedShape,
  object({ full: literal(true) }),
  object({
    held: type({
      bodyHash: string(),
      job: string(),
      verdict: union([literal("inHand"), literal("ran"), literal("mayHaveRun")]),
      holders: optional(array(string())),
    }),
  }),
]);

/** What the leader says of a key. */
export type ClaimResponse = Infer<typeof claimReturnShape>;

export const ClaimResponse = {
  read(text: string): ClaimResponse {
    const value: unknown = JSON.parse(text);
    return typeof value === "object" && value !== null && "claimed" in value
      ? readClaimed(value)
      : create(value, claimReturnShape);
  },
};

export { failureResponse, isFailureResponse, overloadedResponse } from "./command-response.js";
