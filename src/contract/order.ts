import { array, boolean, create, literal, number, object, optional, record, string, type, union, unknown, type Infer } from "superstruct";

const returnShape = object({ code: number(), headers: record(string(), string()), body: string() });

const orderShape = union([
  object({ kind: literal("announce"), address: string(), service: string(), zone: string(), warmth: number() }),
  object({ kind: literal("leave"), address: string(), service: string() }),
  object({ kind: literal("put"), changeId: string(), base: optional(number()), value: unknown() }),
  object({ kind: literal("patch"), changeId: string(), base: optional(number()), value: unknown() }),
  object({ kind: literal("get"), sequence: optional(number()) }),
  object({ kind: literal("history") }),
  object({ kind: literal("claim"), scope: string(), bodyHash: string(), job: string() }),
  object({ kind: literal("settle"), scope: string(), job: string(), verdict: union([literal("ran"), literal("mayHaveRun")]), return: optional(returnShape) }),
  object({ kind: literal("release"), scope: string(), job: string() }),
  object({ kind: literal("rejoin"), machine: string(), nonce: string() }),
  object({ kind: literal("fleet") }),
  object({ kind: literal("drainBackEnd"), address: string() }),
]);

/** A command for the leader, as daemons ferry it. */
export type Order = Infer<typeof orderShape>;

export const Order = {
  read: (text: string): Order => create(JSON.parse(text), orderShape),
  text: (order: Order): string => JSON.stringify(order),
};

const machineShape = object({
  name: string(),
  zone: string(),
  roles: array(string()),
  peer: string(),
  incarnation: string(),
  draining: boolean(),
});

/** A machine as it shows itself to the fleet. */
export type Machine = Infer<typeof machineShape>;

const pollShape = object({
  machine: machineShape,
  configSequence: number(),
  directorySequence: number(),
  capacities: array(object({ service: string(), capacity: number() })),
  wished: array(object({ service: string(), count: number() })),
  /** Contracts whose address refused a connection: nobody listens there. */
  refused: array(object({ address: string(), number: number() })),
});

/** What an edge or collector sends to get a fresh view. */
export type Poll = Infer<typeof pollShape>;

const contractShape = object({ address: string(), service: string(), zone: string(), warmth: number(), number: number(), leaving: boolean() });

const viewShape = object({
  granted: literal(true),
  grantMs: number(),
  configSequence: number(),
  config: optional(string()),
  numbers: optional(array(object({ name: string(), number: number() }))),
  directorySequence: number(),
  directory: optional(array(contractShape)),
  capacities: array(object({ service: string(), capacity: number() })),
  collectors: array(object({ zone: string(), peer: string() })),
  recorders: array(string()),
});

/** The view that a poll returns: it is a grant to serve under it. */
export type GrantedView = Infer<typeof viewShape>;

const pollReturnShape = union([viewShape, object({ granted: literal(false), why: string() })]);

export const Poll = {
  read: (text: string): Poll => create(JSON.parse(text), pollShape),
  readReturn: (text: string): Infer<typeof pollReturnShape> => create(JSON.parse(text), pollReturnShape),
};

const claimReturnShape = union([
  object({ claimed: literal(true) }),
  object({
    held: type({
      bodyHash: string(),
      job: string(),
      verdict: union([literal("inHand"), literal("ran"), literal("mayHaveRun")]),
      return: optional(returnShape),
    }),
  }),
]);

/** What the leader says of a key. */
export type ClaimReturn = Infer<typeof claimReturnShape>;

export const ClaimReturn = {
  read: (text: string): ClaimReturn => create(JSON.parse(text), claimReturnShape),
};

const breakdownShape = type({ breakdown: string() });

/** Whether a return only says that the command wasn't carried out, or perhaps wasn't. */
export const isBreakdown = (text: string): boolean => breakdownShape.is(JSON.parse(text));
