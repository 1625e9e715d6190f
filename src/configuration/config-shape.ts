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
/** Any JSON, which is stored and returned unchanged. */
export const opaqueShape = Validated.custom<NonNullable<unknown> | null>(
  "JSON",
  (value) => value !== undefined,
  "JSON",
);
/** The HTTP methods that a route can match. */
export const METHODS = ["GET", "HEAD", "OPTIONS", "POST", "PUT", "PATCH", "DELETE"] as const;
const { boolean, nonEmptyArray, optional, oneOf, recordOf, objectOf, integerBetween } = Validated;

/** The retry rules of routes: safe requests and downloads may be retried, unsafe ones not, idempotent ones run once per key. */
const ROUTE_KINDS = ["safe", "unsafe", "idempotent", "download"] as const;

const serviceShape = objectOf(
  object({
    /** The header in which the service's backends echo a request's number and service. */
    stampHeader: optional(header),
    /** Maximum number of concurrent requests from one daemon to one backend. */
    inHand: optional(integerBetween(1, 10_000)),
    /** The path of its backends' health checks. */
    healthPath: optional(healthPath),
    /** Maximum number of connections to one backend. */
    maxConnections: optional(integerBetween(1, 1_000_000)),
    protocol: optional(word),
    tls: optional(boolean()),
    /** Whether its backends deduplicate requests by idempotency key themselves. */
    keepsKeys: optional(boolean()),
    /** Data that an adapter stores with this item; never interpreted. */
    origin: optional(opaqueShape),
  }),
);

const routeShape = objectOf(
  object({
    match: objectOf(
      object({
        methods: optional(nonEmptyArray(oneOf(METHODS))),
        path: pathPattern,
        host: optional(host),
      }),
    ),
    /** The service that serves this route; `split` names several. */
    service: optional(nameShape),
    /** Services that share this route by weight. */
    split: optional(nonEmptyArray(objectOf(object({ service: nameShape, weight })))),
    /** Which requests may be retried; it overrides `repeat`, `keyed` and the methods. */
    kind: optional(oneOf(ROUTE_KINDS)),
    /** Whether to retry an attempt that may have run; `safe` requires safe methods. */
    repeat: optional(oneOf(["safe", "never"])),
    /** Whether writes on this route must carry an Idempotency-Key. */
    keyed: optional(boolean()),
    /** Maximum number of attempts of one request, each at a different backend. */
    attempts: optional(integerBetween(1, 10)),
    /** The timeout of one attempt, in milliseconds. */
    giveUpMs: optional(integerBetween(1, 600_000)),
    /** The priority of its requests; 0 is the highest. */
    priority: optional(integerBetween(0, 9)),
    /** Data that an adapter stores with this item; never interpreted. */
    origin: optional(opaqueShape),
  }),
);

const goalShape = objectOf(
  object({
    latencyMs: integerBetween(1, 600_000),
    furtherTries: optional(integerBetween(0, 5)),
  }),
);

const limitsShape = objectOf(
  object({
    /** Maximum size of a request's head, in bytes. */
    headerBytes: optional(integerBetween(1, 2 ** 31 - 1)),
    /** Maximum size of a request's body, in bytes. */
    bodyBytes: optional(integerBetween(0, Number.MAX_SAFE_INTEGER)),
    /** The timeout for the head of a request, in milliseconds. */
    headerMs: optional(integerBetween(1, 86_400_000)),
    /** The timeout of a connection without a request, in milliseconds. */
    idleMs: optional(integerBetween(1, 86_400_000)),
    /** Data that an adapter stores with this item; never interpreted. */
    origin: optional(opaqueShape),
  }),
);

/** The shape of a configuration; its field names are part of the operators' interface and are stored. */
export const configShape = objectOf(
  object({
    services: recordOf(nameShape, serviceShape),
    routes: recordOf(nameShape, routeShape),
    goals: optional(recordOf(nameShape, goalShape)),
    limits: optional(limitsShape),
    /** Data that an adapter stores with the configuration; never interpreted. */
    origin: optional(opaqueShape),
  }),
);

/** A route of a configuration. */
export type Route = Infer<typeof routeShape>;

/** A configuration, as operators write it. */
export type Config = Infer<typeof configShape>;

/** The services that serve a route, with their weights. */
export const trafficSplitOf = (route: Route): ReadonlyArray<{ service: string; weight: number }> =>
  route.split ?? (route.service === undefined ? [] : [{ service: route.service, weight: 1 }]);

/** Methods without side effects. */
export const safeMethods: ReadonlySet<string> = new Set(["GET", "HEAD", "OPTIONS"]);
