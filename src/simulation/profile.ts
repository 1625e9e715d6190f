import type { Config } from "../configuration/config.js";
import type { Settings } from "../daemon/settings.js";

/** One kind of request that callers send. */
export interface Traffic {
  readonly route: string;
  readonly service: string;
  readonly method: "GET" | "POST";
  readonly path: (at: number) => string;
  readonly keyed: boolean;
  readonly requestsPerSecond: number;
  readonly bodyBytes: number;
}

/** A deployment: its machines, back ends, routes and callers. */
export interface Profile {
  readonly name: string;
  readonly zones: readonly string[];
  readonly diskMachines: number;
  readonly disklessMachines: number;
  readonly backends: Readonly<Record<string, number>>;
  readonly traffic: readonly Traffic[];
  /** What may be lost at once; what the product takes for usual where it isn't set. */
  readonly tolerate?: { readonly machines: number; readonly zones: number };
  /** The bounds that the fleet is held to; the usual ones where they aren't set. */
  readonly bounds?: NonNullable<Settings["bounds"]>;
  /** Services that a route may be moved to, by route. */
  readonly moves: Readonly<Record<string, readonly string[]>>;
}

const kovacic: Profile = {
  name: "kovacic",
  zones: ["north", "east", "south", "west"],
  diskMachines: 4,
  disklessMachines: 10,
  backends: { checklists: 17, sightings: 12, archives: 6 },
  traffic: [
    {
      route: "checklists",
      service: "checklists",
      method: "GET",
      path: (at) => `/checklists/${at % 400}`,
      keyed: false,
      requestsPerSecond: 134,
      bodyBytes: 600,
    },
    {
      route: "sightings",
      service: "sightings",
      method: "POST",
      path: () => "/sightings",
      keyed: true,
      requestsPerSecond: 38,
      bodyBytes: 150,
    },
    {
      route: "archives",
      service: "archives",
      method: "GET",
      path: (at) => `/archives/${at % 40}`,
      keyed: false,
      requestsPerSecond: 6,
      bodyBytes: 400_000,
    },
    {
      route: "maps",
      service: "archives",
      method: "POST",
      path: (at) => `/maps/${at % 20}/refresh`,
      keyed: false,
      requestsPerSecond: 2,
      bodyBytes: 100,
    },
  ],
  moves: { sightings: ["sightings", "checklists"], maps: ["archives", "checklists"] },
};

const rastro: Profile = {
  name: "rastro",
  zones: ["red", "green", "blue"],
  diskMachines: 3,
  disklessMachines: 12,
  backends: { issues: 18, triage: 12, crashes: 6 },
  traffic: [
    {
      route: "issues",
      service: "issues",
      method: "GET",
      path: (at) => `/issues/${at % 900}`,
      keyed: false,
      requestsPerSecond: 405,
      bodyBytes: 900,
    },
    {
      route: "resolves",
      service: "triage",
      method: "POST",
      path: (at) => `/issues/${at % 900}/resolve`,
      keyed: true,
      requestsPerSecond: 120,
      bodyBytes: 80,
    },
    {
      route: "crashes",
      service: "crashes",
      method: "GET",
      path: (at) => `/crashes/${at % 60}`,
      keyed: false,
      requestsPerSecond: 15,
      bodyBytes: 350_000,
    },
    {
      route: "syncs",
      service: "crashes",
      method: "POST",
      path: (at) => `/syncs/${at % 30}`,
      keyed: false,
      requestsPerSecond: 10,
      bodyBytes: 100,
    },
  ],
  moves: { resolves: ["triage", "issues"], syncs: ["crashes", "issues"] },
};

/** Five voters, two of which may be lost at once, and callers enough to see it. */
const five: Profile = {
  ...rastro,
  name: "five",
  diskMachines: 5,
  disklessMachines: 6,
  tolerate: { machines: 2, zones: 0 },
};

const routePaths: Readonly<Record<string, string>> = {
  checklists: "/checklists/*",
  sightings: "/sightings",
  archives: "/archives/*",
  maps: "/maps/*",
  issues: "/issues/*",
  resolves: "/issues/*",
  crashes: "/crashes/*",
  syncs: "/syncs/*",
};

export const shippedProfiles = { kovacic, rastro };

export { five as fiveMemberProfile };

/** A config for a profile; `probe` names a route that no other config has. */
export function profileConfig(
  profile: Profile,
  probe: number,
  moved: Readonly<Record<string, string>> = {},
  extraRoutes = 0,
): Config {
  const config: Config = { services: {}, routes: {}, goals: {} };
  const [first] = Object.keys(profile.backends);
  for (const service of Object.keys(profile.backends)) config.services[service] = {};
  for (const { route, service, method, keyed } of profile.traffic) {
    config.routes[route] = {
      match: { path: routePaths[route] ?? `/${route}/*`, methods: [method] },
      service: moved[route] ?? service,
      ...(keyed ? { keyed } : {}),
      giveUpMs: 3000,
    };
    if (config.goals)
      config.goals[route] = { latencyMs: method === "GET" ? 250 : 400, furtherTries: 2 };
  }
  for (let extra = 0; extra < extraRoutes; extra += 1)
    config.routes[`extra-${extra}`] = {
      match: { path: `/extra/${extra}/*` },
      service: first ?? "",
    };
  config.routes[`probe-${probe}`] = {
    match: { path: `/probe/${probe}`, methods: ["GET"] },
    service: first ?? "",
    giveUpMs: 3000,
  };
  return config;
}
