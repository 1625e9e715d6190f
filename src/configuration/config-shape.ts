/** The shape of configurations, as operators write them. */
import { object, type Infer } from "superstruct";
import { Validated } from "./validated.js";

/** The name of a service or a route. */
export const nameShape = Validated.pattern(
  "name",
  /^(?!__proto__$)[A-Za-z0-9._-]{1,100}$/,
  "a name of letters, digits, dashes, underscores and dots, 100 at most",
);
const header = Validated.pattern(
  "header",
  /^[a-z][a-z0-9-]{0,59}$/,
  "a header's name in lower case",
);
const pathPattern = Validated.pattern(
  "path",
  /^\/[^\s?#*]{0,500}\*?$/,
  "a path that begins with / and may end with *",
);
const host = Validated.pattern(
  "host",
  /^(?:[A-Za-z0-9._-]{1,253}|\[[0-9A-Fa-f:.]{2,45}\])$/,
  "a host's name without a port",
);
const healthPath = Validated.pattern("path", /^\/[^\s#]{0,999}$/, "a path that begins with /");
const word = Validated.pattern("word", /^[\w./-]{1,40}$/, "a word");
const weight = Validated.custom<number>(
  "weight",
  (value) => typeof value === "number" && value >= 0 && value <= 1e12,
  "a weight of 0 or more",
);
/** Any JSON; it is stored and returned as it was sent. */
export const opaqueShape = Validated.custom<NonNullable<unknown> | null>(
  "JSON",
  (value) => value !== undefined,
  "JSON",
);
/** The HTTP methods that a route can match. */
export const METHODS = ["GET", "HEAD", "OPTIONS", "POST", "PUT", "PATCH", "DELETE"] as const;
const {
  boolean: flag,
  nonEmptyArray: many,
  optional: maybe,
  oneOf: one,
  recordOf: section,
  objectOf: whole,
  integerBetween: within,
} = Validated;

/** Which requests of a route may be retried: safe ones and downloads always, unsafe ones never, idempotent ones run once for each key. */
const ROUTE_KINDS = ["safe", "unsafe", "idempotent", "download"] as const;

const serviceShape = whole(
  object({
    /** The header in which the service's backends echo a request's number and service. */
    stampHeader: maybe(header),
    /** How many concurrent requests one daemon sends to one backend. */
    inHand: maybe(within(1, 10_000)),
    /** The path of its backends' health checks. */
    healthPath: maybe(healthPath),
    /** How many connections one backend accepts. */
    maxConnections: maybe(within(1, 1_000_000)),
    protocol: maybe(word),
    tls: maybe(flag()),
    /** Whether its backends deduplicate requests by idempotency key themselves. */
    keepsKeys: maybe(flag()),
    /** Data that an adapter stores with this item; never interpreted. */
    origin: maybe(opaqueShape),
  }),
);

const routeShape = whole(
  object({
    match: whole(
      object({ methods: maybe(many(one(METHODS))), path: pathPattern, host: maybe(host) }),
    ),
    /** The service that serves this route; `split` names several. */
    service: maybe(nameShape),
    /** Services that share this route by weight. */
    split: maybe(many(whole(object({ service: nameShape, weight })))),
    /** Which requests may be retried; it overrides `repeat`, `keyed` and the methods. */
    kind: maybe(one(ROUTE_KINDS)),
    /** Whether an attempt that may have run may be retried; only for safe methods. */
    repeat: maybe(one(["safe", "never"])),
    /** Whether writes on this route must carry an Idempotency-Key. */
    keyed: maybe(flag()),
    /** The largest number of attempts of one request, each at another backend. */
    attempts: maybe(within(1, 10)),
    /** The timeout of one attempt, in milliseconds. */
    giveUpMs: maybe(within(1, 600_000)),
    /** The priority of its requests, 0 the highest. */
    priority: maybe(within(0, 9)),
    /** Data that an adapter stores with this item; never interpreted. */
    origin: maybe(opaqueShape),
  }),
);

const goalShape = whole(
  object({
    latencyMs: within(1, 600_000),
    furtherTries: maybe(within(0, 5)),
  }),
);

const limitsShape = whole(
  object({
    /** The largest size of a request's head, in bytes. */
    headerBytes: maybe(within(1, 2 ** 31 - 1)),
    /** The largest size of a request's body, in bytes. */
    bodyBytes: maybe(within(0, Number.MAX_SAFE_INTEGER)),
    /** The timeout for the head of a request, in milliseconds. */
    headerMs: maybe(within(1, 86_400_000)),
    /** The timeout of a connection without a request, in milliseconds. */
    idleMs: maybe(within(1, 86_400_000)),
    /** Data that an adapter stores with this item; never interpreted. */
    origin: maybe(opaqueShape),
  }),
);

/** The shape of a configuration; its field names are the operators' and are stored. */
export const configShape = whole(
  object({
    services: section(nameShape, serviceShape),
    routes: section(nameShape, routeShape),
    goals: maybe(section(nameShape, goalShape)),
    limits: maybe(limitsShape),
    /** Data that an adapter stores with the configuration; never interpreted. */
    origin: maybe(opaqueShape),
  }),
);

/** A route of a configuration. */
export type Route = Infer<typeof routeShape>;

/** A configuration, as operators write it. */
export type Config = Infer<typeof configShape>;

/** The services that serve a route, with their weights. */
export const trafficSplitOf = (route: Route): ReadonlyArray<{ service: string; weight: number }> =>
  route.split ?? (route.service === undefined ? [] : [{ service: route.service, weight: 1 }]);

/** Methods that change nothing. */
export const safeMethods: ReadonlySet<string> = new Set(["GET", "HEAD", "OPTIONS"]);
