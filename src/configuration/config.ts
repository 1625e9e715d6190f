import { array, object, optional, record, string, validate, type Infer } from "superstruct";
import { Validated, isObject } from "./validated.js";

/** The name of a service or a route. */
export const nameShape = Validated.text(
  "name",
  /^(?!__proto__$)[A-Za-z0-9._-]{1,100}$/,
  "a name of letters, digits, dashes, underscores and dots, 100 at most",
);
const header = Validated.text("header", /^[a-z][a-z0-9-]{0,59}$/, "a header's name in lower case");
const pathPattern = Validated.text(
  "path",
  /^\/[^\s?#*]{0,500}\*?$/,
  "a path that begins with / and may end with *",
);
const host = Validated.text(
  "host",
  /^(?:[A-Za-z0-9._-]{1,253}|\[[0-9A-Fa-f:.]{2,45}\])$/,
  "a host's name without a port",
);
const healthPath = Validated.text("path", /^\/[^\s#]{0,999}$/, "a path that begins with /");
const word = Validated.text("word", /^[\w./-]{1,40}$/, "a word");
const weight = Validated.leaf<number>(
  "weight",
  (value) => typeof value === "number" && value >= 0 && value <= 1e12,
  "a weight of 0 or more",
);
/** Any JSON, kept and given back as it was sent. */
const opaque = Validated.leaf<NonNullable<unknown> | null>(
  "JSON",
  (value) => value !== undefined,
  "JSON",
);
const methods = ["GET", "HEAD", "OPTIONS", "POST", "PUT", "PATCH", "DELETE"] as const;
const { flag, many, maybe, one, section, whole, within } = Validated;

/** What may be repeated on a route: safe requests and downloads always, unsafe ones never, idempotent ones are run once for each key. */
const routeKinds = ["safe", "unsafe", "idempotent", "download"] as const;

const serviceShape = whole(
  object({
    /** The header in which this service's back ends echo a request's number and service. */
    stampHeader: maybe(header),
    /** How many requests one daemon has in hand at one back end at most. */
    inHand: maybe(within(1, 10_000)),
    /** Where its back ends tell of their health. */
    healthPath: maybe(healthPath),
    /** How many connections one back end bears. */
    maxConnections: maybe(within(1, 1_000_000)),
    protocol: maybe(word),
    tls: maybe(flag()),
    /** Whether its back ends keep a record of keys of their own. */
    keepsKeys: maybe(flag()),
    /** What an adapter keeps with this item, unread. */
    origin: maybe(opaque),
  }),
);

const routeShape = whole(
  object({
    match: whole(
      object({ methods: maybe(many(one(methods))), path: pathPattern, host: maybe(host) }),
    ),
    /** The service that serves this route; `split` names several. */
    service: maybe(nameShape),
    /** Services that share this route by weight. */
    split: maybe(many(whole(object({ service: nameShape, weight })))),
    /** What may be repeated; it decides in place of `repeat`, `keyed` and the methods. */
    kind: maybe(one(routeKinds)),
    /** Whether a try that may have run may be sent again; only for safe methods. */
    repeat: maybe(one(["safe", "never"])),
    /** Whether writes on this route must carry an Idempotency-Key. */
    keyed: maybe(flag()),
    /** The largest number of back ends that one request may be sent to. */
    attempts: maybe(within(1, 10)),
    /** How long one try may take until it is given up on. */
    giveUpMs: maybe(within(1, 600_000)),
    /** The rank of its requests, 0 the highest. */
    priority: maybe(within(0, 9)),
    /** What an adapter keeps with this item, unread. */
    origin: maybe(opaque),
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
    /** How large the head of a request may be. */
    headerBytes: maybe(within(1, 2 ** 31 - 1)),
    /** How large the body of a request may be. */
    bodyBytes: maybe(within(0, Number.MAX_SAFE_INTEGER)),
    /** How long the head of a request may take to come. */
    headerMs: maybe(within(1, 86_400_000)),
    /** How long a connection may stay without a request. */
    idleMs: maybe(within(1, 86_400_000)),
    /** What an adapter keeps with this item, unread. */
    origin: maybe(opaque),
  }),
);

/** The shape of a whole configuration. */
export const configShape = whole(
  object({
    services: section(nameShape, serviceShape),
    routes: section(nameShape, routeShape),
    goals: maybe(section(nameShape, goalShape)),
    limits: maybe(limitsShape),
    /** What an adapter keeps with the whole, unread. */
    origin: maybe(opaque),
  }),
);

type Route = Infer<typeof routeShape>;

/** A whole configuration, in the operators' words. */
export type Config = Infer<typeof configShape>;

/** One thing wrong with what was sent, and where. */
export interface ValidationFault {
  path: string;
  expected: string;
}

/** The faults of a value that a superstruct refused. */
export const validationFaults = (
  failures: Iterable<{
    path: Array<string | number>;
    message: string;
    type: string;
    refinement: string | undefined;
  }>,
): ValidationFault[] =>
  [...failures].map((failure) => ({
    path: failure.path.join(".") || "(whole)",
    expected:
      failure.type === "never" ? "no such field" : failure.message.replace(/^Expected /, ""),
  }));

/** The services that serve a route, with their weights. */
export const trafficSplitOf = (route: Route): ReadonlyArray<{ service: string; weight: number }> =>
  route.split ?? (route.service === undefined ? [] : [{ service: route.service, weight: 1 }]);

const routeFaults = function* (
  config: Config,
  at: string,
  route: Route,
): Iterable<ValidationFault> {
  if ((route.service === undefined) === (route.split === undefined))
    yield { path: `${at}.service`, expected: "either a service or a split" };
  for (const [place, { service }] of trafficSplitOf(route).entries())
    if (!Object.hasOwn(config.services, service))
      yield {
        path: `${at}.${route.split ? `split.${place}.service` : "service"}`,
        expected: `a service that is defined, not "${service}"`,
      };
  if (route.split?.every((part) => part.weight === 0))
    yield { path: `${at}.split`, expected: "a weight above 0" };
  if (
    route.kind === undefined &&
    route.repeat === "safe" &&
    (route.match.methods ?? methods).some((method) => !safeMethods.has(method))
  )
    yield { path: `${at}.repeat`, expected: `"never", or a match on safe methods alone` };
};

const shapeFaults = (value: unknown): ValidationFault[] => {
  const [error] = validate(value, configShape);
  return error ? validationFaults(error.failures()) : [{ path: "(whole)", expected: "a config" }];
};

/** Checks configs whole. */
export class ConfigChecker {
  /** All faults of a configuration, or none and the config. */
  check(value: unknown): { config: Config } | { faults: ValidationFault[] } {
    if (!Validated.passes(configShape, value)) return { faults: shapeFaults(value) };
    const faults: ValidationFault[] = [];
    for (const [name, route] of Object.entries(value.routes))
      faults.push(...routeFaults(value, `routes.${name}`, route));
    for (const name of Object.keys(value.goals ?? {}))
      if (!Object.hasOwn(value.routes, name))
        faults.push({ path: `goals.${name}`, expected: "the name of a route that is defined" });
    return faults.length > 0 ? { faults } : { config: value };
  }
}

export const Config = {
  /** Reads and checks a configuration whole: all its faults, or none and the config. */
  check: (value: unknown): { config: Config } | { faults: ValidationFault[] } =>
    new ConfigChecker().check(value),

  /** Reads a configuration that was checked before it was recorded. */
  parse(text: string): Config {
    const value: unknown = JSON.parse(text);
    const checked = Config.check(value);
    if ("faults" in checked)
      throw new Error(`A recorded config has faults: ${JSON.stringify(checked.faults)}`);
    return checked.config;
  },

  empty: { services: {}, routes: {}, goals: {} },
};

/** Reads configs that were accepted: their shape alone is looked at. */
export class ConfigReader {
  read(text: string): Config {
    const value: unknown = JSON.parse(text);
    if (Validated.passes(configShape, value)) return value;
    throw new Error(`A recorded config has faults: ${JSON.stringify(shapeFaults(value))}`);
  }
}

/** Methods that change nothing. */
export const safeMethods: ReadonlySet<string> = new Set(["GET", "HEAD", "OPTIONS"]);

/** A JSON merge patch, as RFC 7396 has it. */
export const mergePatch = (target: unknown, patch: unknown): unknown => {
  if (!isObject(patch)) return patch;
  const merged: Record<string, unknown> = isObject(target) ? { ...target } : {};
  for (const [key, value] of Object.entries(patch)) {
    if (value === null) delete merged[key];
    else
      Object.defineProperty(merged, key, {
        value: mergePatch(Object.hasOwn(merged, key) ? merged[key] : undefined, value),
        enumerable: true,
        writable: true,
        configurable: true,
      });
  }
  return merged;
};

/** Items to put, each whole; a goal that is null goes, and so do limits that are null. */
export const itemsShape = object({
  services: optional(record(string(), opaque)),
  routes: optional(record(string(), opaque)),
  goals: optional(record(string(), opaque)),
  limits: optional(opaque),
  origin: optional(opaque),
});

/** Names of items to remove; one that isn't there is passed over. */
export const namesShape = object({
  services: array(string()),
  routes: array(string()),
  goals: array(string()),
});

const amendSection = (
  section: unknown,
  put: Record<string, unknown> = {},
  removed: Iterable<string> = [],
): Record<string, unknown> => {
  const gone = new Set(removed);
  const kept = Object.entries(isObject(section) ? section : {}).filter(([name]) => !gone.has(name));
  return Object.fromEntries([...kept, ...Object.entries(put)]);
};

/** A config from which named items are removed and in which others are put, each whole; a removed route takes its goal along. */
export const applyItemChanges = (
  target: unknown,
  put: Infer<typeof itemsShape>,
  remove: Infer<typeof namesShape>,
): Record<string, unknown> => {
  const whole = isObject(target) ? target : {};
  const goals = amendSection(whole["goals"], put.goals, [...remove.goals, ...remove.routes]);
  const amended: Record<string, unknown> = {
    ...whole,
    services: amendSection(whole["services"], put.services, remove.services),
    routes: amendSection(whole["routes"], put.routes, remove.routes),
    goals: Object.fromEntries(Object.entries(goals).filter(([, goal]) => goal !== null)),
    ...(put.limits === undefined ? {} : { limits: put.limits }),
    ...(put.origin === undefined ? {} : { origin: put.origin }),
  };
  if (put.limits === null) delete amended["limits"];
  return amended;
};
