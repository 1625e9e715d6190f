import { Config, safeMethods, trafficSplitOf } from "../configuration/config.js";
import type { ActiveRoute } from "./active-route.js";
import { PathIndex } from "./path-index.js";

type Route = Config["routes"][string];

/** A service as the daemons use it. */
export type ActiveService = Config["services"][string];

const usual = {
  giveUpMs: 5000,
  goalMs: 1000,
  furtherTries: 1,
  stampHeader: "x-daledoor-stamp",
  inHand: 200,
  priority: 5,
};

/** A host's name as hosts are compared: in lower case, without a port. */
export const hostName = (host: string): string => host.toLowerCase().replace(/:\d*$/, "");

const repeatableBy = (route: Route): boolean =>
  route.repeat === undefined
    ? (route.match.methods ?? ["POST"]).every((method) => safeMethods.has(method))
    : route.repeat === "safe";

const chooseFrom = (splits: ActiveRoute["splits"], draw: number): string => {
  const served = splits.filter(({ weight }) => weight > 0);
  let left = draw * served.reduce((sum, { weight }) => sum + weight, 0);
  return served.find(({ weight }) => (left -= weight) < 0)?.service ?? served.at(-1)?.service ?? "";
};

const ofName = <T>(section: Record<string, T>, name: string): T | undefined =>
  Object.hasOwn(section, name) ? section[name] : undefined;

const mappingOf = (config: Config, name: string, route: Route): ActiveRoute => {
  const isPrefix = route.match.path.endsWith("*");
  const splits = trafficSplitOf(route);
  const service = splits[0]?.service ?? "";
  const shape = ofName(config.services, service);
  const goal = ofName(config.goals ?? {}, name);
  const repeatable =
    route.kind === undefined
      ? repeatableBy(route)
      : route.kind === "safe" || route.kind === "download";
  const keyed = route.kind === undefined ? (route.keyed ?? false) : route.kind === "idempotent";
  const furtherTries =
    route.attempts === undefined ? (goal?.furtherTries ?? usual.furtherTries) : route.attempts - 1;
  return {
    name,
    host: route.match.host === undefined ? undefined : hostName(route.match.host),
    splits,
    service,
    methods: route.match.methods ? new Set<string>(route.match.methods) : undefined,
    path: isPrefix ? route.match.path.slice(0, -1) : route.match.path,
    isPrefix,
    kind: route.kind ?? (keyed ? "idempotent" : repeatable ? "safe" : "unsafe"),
    isDownload: route.kind === "download",
    repeatable,
    keyed,
    attempts: furtherTries + 1,
    furtherTries,
    giveUpMs: route.giveUpMs ?? usual.giveUpMs,
    goalMs: goal?.latencyMs ?? usual.goalMs,
    priority: route.priority ?? usual.priority,
    stampHeader: shape?.stampHeader ?? usual.stampHeader,
    inHandLimit: shape?.inHand ?? usual.inHand,
    choose: (draw) => (splits.length > 1 ? chooseFrom(splits, draw) : service),
    takes: (wanted) => splits.some((one) => one.service === wanted && one.weight > 0),
  };
};

/** All mappings of one config, the most exact first. */
export class RouteTable {
  private readonly hosts = new Map<string, PathIndex>();
  private readonly anyHost = new PathIndex();
  private readonly byName = new Map<string, ActiveRoute>();
  readonly all: readonly ActiveRoute[];
  readonly limits: NonNullable<Config["limits"]>;
  private readonly config: Config;

  /** Reads a config; what is the same as in a former one, by identity of its items, is taken over from that. */
  constructor(config: Config, former?: RouteTable) {
    this.limits = config.limits ?? {};
    this.config = config;
    this.all = Object.entries(config.routes).map(
      ([name, route]) => former?.sameIn(config, name) ?? mappingOf(config, name, route),
    );
    for (const route of this.all) this.byName.set(route.name, route);
    for (const route of this.all) if (!route.isPrefix) this.index(route.host).add(route);
    for (const route of this.all
      .filter(({ isPrefix }) => isPrefix)
      .sort((a, b) => (a.name < b.name ? -1 : 1)))
      this.index(route.host).add(route);
  }

  /** The mapping of a request: one for its host before one for any, then the longest match. */
  find(method: string, path: string, host = ""): ActiveRoute | undefined {
    const ofHost =
      this.hosts.size === 0 || host === "" ? undefined : this.hosts.get(hostName(host));
    return ofHost?.find(method, path) ?? this.anyHost.find(method, path);
  }

  /** The mapping of a route's name. */
  named(name: string): ActiveRoute | undefined {
    return this.byName.get(name);
  }

  /** A service of this config by its name. */
  service(name: string): ActiveService | undefined {
    return ofName(this.config.services, name);
  }

  /** The mapping of a route, if all that it is made of is the same in another config. */
  private sameIn(config: Config, name: string): ActiveRoute | undefined {
    const route = this.byName.get(name);
    const isSame =
      route !== undefined &&
      config.routes[name] === this.config.routes[name] &&
      ofName(config.goals ?? {}, name) === ofName(this.config.goals ?? {}, name) &&
      ofName(config.services, route.service) === this.service(route.service);
    return isSame ? route : undefined;
  }

  private index(host: string | undefined): PathIndex {
    if (host === undefined) return this.anyHost;
    const known = this.hosts.get(host);
    if (known) return known;
    const index = new PathIndex();
    this.hosts.set(host, index);
    return index;
  }
}
