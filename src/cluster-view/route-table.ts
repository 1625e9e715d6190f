/** The routes of one configuration, and the lookup of the route that matches a request. */
import type { Config } from "../configuration/config.js";
import { safeMethods, trafficSplitOf } from "../configuration/config-shape.js";
import type { ActiveRoute, RouteTargets } from "./active-route.js";
import { PathIndex } from "./path-index.js";

type Route = Config["routes"][string];
type Goal = NonNullable<Config["goals"]>[string];

/** The settings of a service. */
export type ActiveService = Config["services"][string];

/** Defaults of a route, its goal and its service. */
const DEFAULTS = {
  giveUpMs: 5000,
  goalMs: 1000,
  furtherTries: 1,
  stampHeader: "x-daledoor-stamp",
  inHandLimit: 200,
  priority: 5,
};

/** A host name in the form for comparison: in lower case, without a port. */
export const normalizeHost = (host: string): string => host.toLowerCase().replace(/:\d*$/, "");

const chooseWeighted = (splits: ActiveRoute["splits"], draw: number): string => {
  const candidates = splits.filter(({ weight }) => weight > 0);
  let remaining = draw * candidates.reduce((sum, { weight }) => sum + weight, 0);
  return (
    candidates.find(({ weight }) => (remaining -= weight) < 0)?.service ??
    candidates.at(-1)?.service ??
    ""
  );
};

/** An item of a section; ignores properties that objects inherit, such as `toString`. */
const ownItem = <T>(section: Record<string, T>, name: string): T | undefined =>
  Object.hasOwn(section, name) ? section[name] : undefined;

/** The conditions under which a route matches a request. */
const buildMatch = ({
  match: { host, methods, path },
}: Route): Pick<ActiveRoute, "host" | "methods" | "path" | "isPrefix"> => {
  const isPrefix = path.endsWith("*");
  return {
    host: host === undefined ? undefined : normalizeHost(host),
    methods: methods ? new Set<string>(methods) : undefined,
    path: isPrefix ? path.slice(0, -1) : path,
    isPrefix,
  };
};

/** Whether requests of a route without a kind may be sent twice: by its `repeat` setting, otherwise by its methods. */
const isRepeatable = ({ match, repeat }: Route): boolean =>
  repeat === undefined
    ? (match.methods ?? ["POST"]).every((method) => safeMethods.has(method))
    : repeat === "safe";

/** Whether and how a route's requests may be sent again. */
const deriveSemantics = (
  route: Route,
): Pick<ActiveRoute, "kind" | "isDownload" | "repeatable" | "keyed"> => {
  const { kind } = route;
  if (kind !== undefined)
    return {
      kind,
      isDownload: kind === "download",
      repeatable: kind === "safe" || kind === "download",
      keyed: kind === "idempotent",
    };
  const repeatable = isRepeatable(route);
  const keyed = route.keyed ?? false;
  const unkeyedKind = repeatable ? "safe" : "unsafe";
  return { kind: keyed ? "idempotent" : unkeyedKind, isDownload: false, repeatable, keyed };
};

/** Targets of a route, from its own settings, its goal and the defaults. */
const deriveTargets = (route: Route, goal: Goal | undefined): RouteTargets => {
  const maxRetries =
    route.attempts === undefined
      ? (goal?.furtherTries ?? DEFAULTS.furtherTries)
      : route.attempts - 1;
  return {
    attempts: maxRetries + 1,
    maxRetries,
    timeoutMs: route.giveUpMs ?? DEFAULTS.giveUpMs,
    latencyTargetMs: goal?.latencyMs ?? DEFAULTS.goalMs,
    priority: route.priority ?? DEFAULTS.priority,
  };
};

const createActiveRoute = (config: Config, name: string, route: Route): ActiveRoute => {
  const splits = trafficSplitOf(route);
  const service = splits[0]?.service ?? "";
  const settings = ownItem(config.services, service);
  return {
    name,
    ...buildMatch(route),
    ...deriveSemantics(route),
    ...deriveTargets(route, ownItem(config.goals ?? {}, name)),
    splits,
    service,
    stampHeader: settings?.stampHeader ?? DEFAULTS.stampHeader,
    maxInFlight: settings?.inHand ?? DEFAULTS.inHandLimit,
    chooseService: (draw) => (splits.length > 1 ? chooseWeighted(splits, draw) : service),
    routesTo: (serviceName) =>
      splits.some((split) => split.service === serviceName && split.weight > 0),
  };
};

/** All routes of one configuration. */
export class RouteTable {
  private readonly hosts = new Map<string, PathIndex>();
  private readonly anyHost = new PathIndex();
  private readonly byName = new Map<string, ActiveRoute>();
  /** All routes, in the order of the configuration. */
  readonly all: readonly ActiveRoute[];
  readonly limits: NonNullable<Config["limits"]>;
  private readonly config: Config;

  /** Builds the table of a configuration; reuses routes of the previous table whose configuration items are identical. */
  constructor(config: Config, previous?: RouteTable) {
    this.limits = config.limits ?? {};
    this.config = config;
    this.all = Object.entries(config.routes).map(
      ([name, route]) =>
        previous?.unchangedIn(config, name) ?? createActiveRoute(config, name, route),
    );
    for (const route of this.all) this.byName.set(route.name, route);
    for (const route of this.all) if (!route.isPrefix) this.getOrCreateIndex(route.host).add(route);
    for (const route of this.all
      .filter(({ isPrefix }) => isPrefix)
      .sort((a, b) => (a.name < b.name ? -1 : 1)))
      this.getOrCreateIndex(route.host).add(route);
  }

  /** The route of a request: a route for its host precedes one for any host, then the most specific path wins. */
  find(method: string, path: string, host = ""): ActiveRoute | undefined {
    const index =
      this.hosts.size === 0 || host === "" ? undefined : this.hosts.get(normalizeHost(host));
    return index?.find(method, path) ?? this.anyHost.find(method, path);
  }

  /** The route with a name. */
  findByName(name: string): ActiveRoute | undefined {
    return this.byName.get(name);
  }

  /** The settings of a service. */
  service(name: string): ActiveService | undefined {
    return ownItem(this.config.services, name);
  }

  /** The route with a name, if all configuration items from which it is built are identical in another configuration. */
  private unchangedIn(config: Config, name: string): ActiveRoute | undefined {
    const route = this.byName.get(name);
    const isUnchanged =
      route !== undefined &&
      config.routes[name] === this.config.routes[name] &&
      ownItem(config.goals ?? {}, name) === ownItem(this.config.goals ?? {}, name) &&
      ownItem(config.services, route.service) === this.service(route.service);
    return isUnchanged ? route : undefined;
  }

  private getOrCreateIndex(host: string | undefined): PathIndex {
    if (host === undefined) return this.anyHost;
    const known = this.hosts.get(host);
    if (known) return known;
    const index = new PathIndex();
    this.hosts.set(host, index);
    return index;
  }
}
