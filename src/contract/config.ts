import { array, boolean, define, enums, integer, max, min, nonempty, object, optional, record, validate, type Infer, type Struct } from "superstruct";

const name = define<string>("name", (value) => (typeof value === "string" && /^[a-z][a-z0-9-]{0,39}$/.test(value)) || "Expected a name of lower-case letters, digits and dashes");
const header = define<string>("header", (value) => (typeof value === "string" && /^[a-z][a-z0-9-]{0,59}$/.test(value)) || "Expected a header's name in lower case");
const pathPattern = define<string>(
  "path",
  (value) => (typeof value === "string" && /^\/[^\s?#*]{0,500}\*?$/.test(value)) || "Expected a path that begins with / and may end with *",
);
const methods = ["GET", "HEAD", "OPTIONS", "POST", "PUT", "PATCH", "DELETE"] as const;
const within = (low: number, high: number) => max(min(integer(), low), high);

const isObject = (value: unknown): value is Record<string, unknown> => typeof value === "object" && value !== null && !Array.isArray(value);

const serviceShape = object({
  /** The header in which this service's back ends echo a request's number and service. */
  stampHeader: optional(header),
  /** How many requests one daemon has in hand at one back end at most. */
  inHand: optional(within(1, 10_000)),
});

const routeShape = object({
  match: object({ methods: optional(nonempty(array(enums(methods)))), path: pathPattern }),
  service: name,
  /** Whether a try that may have run may be sent again; only for safe methods. */
  repeat: optional(enums(["safe", "never"])),
  /** Whether writes on this route must carry an Idempotency-Key. */
  keyed: optional(boolean()),
  /** How long one try may take until it is given up on. */
  giveUpMs: optional(within(50, 30_000)),
});

const goalShape = object({
  latencyMs: within(1, 60_000),
  furtherTries: optional(within(0, 5)),
});

const configShape = object({
  services: record(name, serviceShape),
  routes: record(name, routeShape),
  goals: optional(record(name, goalShape)),
});

/** A whole configuration, in the operators' words. */
export type Config = Infer<typeof configShape>;

/** One thing wrong with what was sent, and where. */
export interface Fault {
  path: string;
  expected: string;
}

/** The faults of a value that a superstruct refused. */
export const faultsOf = (failures: Iterable<{ path: Array<string | number>; message: string; type: string; refinement: string | undefined }>): Fault[] =>
  [...failures].map((failure) => ({
    path: failure.path.join(".") || "(whole)",
    expected: failure.type === "never" ? "no such field" : failure.message.replace(/^Expected /, ""),
  }));

export const Config = {
  /** Reads and checks a configuration whole: all its faults, or none and the config. */
  check(value: unknown): { config: Config } | { faults: Fault[] } {
    const [error, config] = validate(value, configShape);
    if (error) return { faults: faultsOf(error.failures()) };
    const faults: Fault[] = [];
    for (const [routeName, route] of Object.entries(config.routes)) {
      if (!(route.service in config.services)) faults.push({ path: `routes.${routeName}.service`, expected: `a service that is defined, not "${route.service}"` });
      if (route.repeat === "safe" && (route.match.methods ?? methods).some((method) => !safeMethods.has(method)))
        faults.push({ path: `routes.${routeName}.repeat`, expected: `"never", or a match on safe methods alone` });
    }
    for (const goalName of Object.keys(config.goals ?? {}))
      if (!(goalName in config.routes)) faults.push({ path: `goals.${goalName}`, expected: "the name of a route that is defined" });
    return faults.length > 0 ? { faults } : { config };
  },

  /** Reads a configuration that was checked before it was recorded. */
  parse(text: string): Config {
    const value: unknown = JSON.parse(text);
    const checked = Config.check(value);
    if ("faults" in checked) throw new Error(`A recorded config has faults: ${JSON.stringify(checked.faults)}`);
    return checked.config;
  },

  empty: { services: {}, routes: {}, goals: {} },
};

/** One section of configs, each part of which is checked anew only where it differs from the last one read. */
class SectionReader<T> {
  private readonly shape: Struct<T, unknown>;
  private known = new Map<string, { text: string; part: T }>();

  constructor(shape: Struct<T, unknown>) {
    this.shape = shape;
  }

  read(section: unknown): Record<string, T> {
    const parts: Record<string, T> = {};
    const known = new Map<string, { text: string; part: T }>();
    for (const [name, value] of Object.entries(isObject(section) ? section : {})) {
      const text = JSON.stringify(value);
      const former = this.known.get(name);
      const read = former?.text === text ? former : { text, part: this.shape.create(value) };
      known.set(name, read);
      parts[name] = read.part;
    }
    this.known = known;
    return parts;
  }
}

/** Reads configs that were accepted, one after another, at the cost of what changed. */
export class ConfigReader {
  private readonly services = new SectionReader(serviceShape);
  private readonly routes = new SectionReader(routeShape);
  private readonly goals = new SectionReader(goalShape);

  read(text: string): Config {
    const value: unknown = JSON.parse(text);
    const { services, routes, goals }: Record<string, unknown> = isObject(value) ? value : {};
    return { services: this.services.read(services), routes: this.routes.read(routes), goals: this.goals.read(goals) };
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
    else Object.defineProperty(merged, key, { value: mergePatch(Object.hasOwn(merged, key) ? merged[key] : undefined, value), enumerable: true, writable: true, configurable: true });
  }
  return merged;
};


if (import.meta.vitest) {
  const { expect, test } = import.meta.vitest;
  const good = {
    services: { sightings: {} },
    routes: { post: { match: { methods: ["POST"], path: "/sightings" }, service: "sightings", keyed: true } },
    goals: { post: { latencyMs: 200 } },
  };
  test("a config is refused whole with every fault and its path", () => {
    expect(Config.check(good)).toEqual({ config: good });
    const checked = Config.check({ ...good, goals: { post: { latencyMs: -3 }, ghost: { latencyMs: 5 } }, extra: 1 });
    expect("faults" in checked && checked.faults.map((fault) => fault.path).sort()).toEqual(["extra", "goals.post.latencyMs"]);
    const semantic = Config.check({ ...good, routes: { post: { match: { path: "/x" }, service: "nowhere", repeat: "safe" } }, goals: { ghost: { latencyMs: 5 } } });
    expect("faults" in semantic && semantic.faults.map((fault) => fault.path)).toEqual(["routes.post.service", "routes.post.repeat", "goals.ghost"]);
  });
  test("a reader of accepted configs reads each as it stands, whatever came before", () => {
    const reader = new ConfigReader();
    const more = { ...good, routes: { ...good.routes, late: { match: { path: "/late" }, service: "sightings" } }, goals: { post: { latencyMs: 90 } } };
    for (const config of [good, more, good, { services: {}, routes: {}, goals: {} }, more]) expect(reader.read(JSON.stringify(config))).toEqual(config);
    expect(() => reader.read(JSON.stringify({ ...good, goals: { post: { latencyMs: -1 } } }))).toThrow();
  });
  test("a merge patch adds, changes and removes", () => {
    expect(mergePatch({ a: { b: 1, c: 2 }, d: [1] }, { a: { b: null, e: 3 }, d: [2] })).toEqual({ a: { c: 2, e: 3 }, d: [2] });
  });
}
