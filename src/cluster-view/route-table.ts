/** The routes of one configuration, and the look-up of the one that serves a request. */
import type { Config } from "../configuration/config.js";
import { safeMethods, trafficSplitOf } from "../configuration/config-shape.js";
import type { ActiveRoute, RouteTargets } from "./active-route.js";
import { PathIndex } from "./path-index.js";

type Route = Config["routes"][string];
type Goal = NonNullable<Config["goals"]>[string];

/** The settings of a service. */
export type ActiveService = Config["services"][string];

/** What a route or its service is served by where the configuration doesn't say. */
const DEFAULTS = {
  giveUpMs: 5000,
  goalMs: 1000,
  furtherTries: 1,
  stampHeader: "x-daledoor-stamp",
  inHandLimit: 200,
  priority: 5,
};

/** A host's name as hosts are compared: in lower case, without a port. */
export const normalizeHost = (host: string): string => host.toLowerCase().replace(/:\d*$/, "");

const chooseFrom = (splits: ActiveRoute["splits"], draw: number): string => {
  const served = splits.filter(({ weight }) => weight > 0);
  let left = draw * served.reduce((sum, { weight }) => sum + weight, 0);
  return served.find(({ weight }) => (left -= weight) < 0)?.service ?? served.at(-1)?.service ?? "";
};

/** An item of a section by its own name, whatever objects inherit. */
const ownItem = <T>(section: Record<string, T>, name: string): T | undefined =>
  Object.hasOwn(section, name) ? section[name] : undefined;

/** Which requests a route matches. */
const matchOf = ({
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

/** Whether a route without a kind may be sent twice: by its own word, or by its methods. */
const isRepeatable = ({ match, repeat }: Route): boolean =>
  repeat === undefined
    ? (match.methods ?? ["POST"]).every((method) => safeMethods.has(method))
    : repeat === "safe";

/** Which of a route's requests may be sent again. */
const semanticsOf = (
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

/** How long requests of a route may take, and how often they may be sent. */
const targetsOf = (route: Route, goal: Goal | undefined): RouteTargets => {
  const furtherTries =
    route.attempts === undefined
      ? (goal?.furtherTries ?? DEFAULTS.furtherTries)
      : route.attempts - 1;
  return {
    attempts: furtherTries + 1,
    maxRetries: furtherTries,
    timeoutMs: route.giveUpMs ?? DEFAULTS.giveUpMs,
    latencyTargetMs: goal?.latencyMs ?? DEFAULTS.goalMs,
    priority: route.priority ?? DEFAULTS.priority,
  };
};

const activeRoute = (config: Config, name: string, route: Route): ActiveRoute => {
  const splits = trafficSplitOf(route);
  const service = splits[0]?.service ?? "";
  const settings = ownItem(config.services, service);
  return {
    name,
    ...matchOf(route),
    ...semanticsOf(route),
    ...targetsOf(route, ownItem(config.goals ?? {}, name)),
    splits,
    service,
    stampHeader: settings?.stampHeader ?? DEFAULTS.stampHeader,
    maxInFlight: settings?.inHand ?? DEFAULTS.inHandLimit,
    chooseService: (draw) => (splits.length > 1 ? chooseFrom(splits, draw) : service),
    routesTo: (wanted) => splits.some((split) => split.service === wanted && split.weight > 0),
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

  /** Prepares a configuration; routes whose items are identical to those of a former table are taken over from that. */
  constructor(config: Config, former?: RouteTable) {
    this.limits = config.limits ?? {};
    this.config = config;
    this.all = Object.entries(config.routes).map(
      ([name, route]) => former?.unchangedIn(config, name) ?? activeRoute(config, name, route),
    );
    for (const route of this.all) this.byName.set(route.name, route);
    for (const route of this.all) if (!route.isPrefix) this.indexOf(route.host).add(route);
    for (const route of this.all
      .filter(({ isPrefix }) => isPrefix)
      .sort((a, b) => (a.name < b.name ? -1 : 1)))
      this.indexOf(route.host).add(route);
  }

  /** The route of a request: one for its host before one for any, then the most specific path. */
  find(method: string, path: string, host = ""): ActiveRoute | undefined {
    const index =
      this.hosts.size === 0 || host === "" ? undefined : this.hosts.get(normalizeHost(host));
    return index?.find(method, path) ?? this.anyHost.find(method, path);
  }

  /** The route of a name. */
  findByName(name: string): ActiveRoute | undefined {
    return this.byName.get(name);
  }

  /** A service of this configuration by its name. */
  service(name: string): ActiveService | undefined {
    return ownItem(this.config.services, name);
  }

  /** The route of a name, if all items that it is made from are identical in another configuration. */
  private unchangedIn(config: Config, name: string): ActiveRoute | undefined {
    const route = this.byName.get(name);
    const isUnchanged =
      route !== undefined &&
      config.routes[name] === this.config.routes[name] &&
      ownItem(config.goals ?? {}, name) === ownItem(this.config.goals ?? {}, name) &&
      ownItem(config.services, route.service) === this.service(route.service);
    return isUnchanged ? route : undefined;
  }

  private indexOf(host: string | undefined): PathIndex {
    if (host === undefined) return this.anyHost;
    const known = this.hosts.get(host);
    if (known) return known;
    const index = new PathIndex();
    this.hosts.set(host, index);
    return index;
  }
}
