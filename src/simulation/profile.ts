import type { Config } from "../configuration/config.js";
import type { Settings } from "../daemon/settings.js";

/** One kind of request that clients send. */
export interface Traffic {
  readonly route: string;
  readonly service: string;
  readonly method: "GET" | "POST";
  readonly path: (number: number) => string;
  readonly keyed: boolean;
  readonly requestsPerSecond: number;
  readonly bodyBytes: number;
}

/** A deployment: its machines, backends, routes and client traffic. */
export interface Profile {
  readonly name: string;
  readonly zones: readonly string[];
  readonly diskMachines: number;
  readonly disklessMachines: number;
  readonly backends: Readonly<Record<string, number>>;
  readonly traffic: readonly Traffic[];
  /** How many machines and zones may be lost at once; the default settings apply where it isn't set. */
  readonly tolerate?: { readonly machines: number; readonly zones: number };
  /** The time bounds of the fleet; the default settings apply where they aren't set. */
  readonly bounds?: NonNullable<Settings["bounds"]>;
  /** The services that operators may move a route to, by route. */
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
      path: (number) => `/checklists/${number % 400}`,
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
      path: (number) => `/archives/${number % 40}`,
      keyed: false,
      requestsPerSecond: 6,
      bodyBytes: 400_000,
    },
    {
      route: "maps",
      service: "archives",
      method: "POST",
      path: (number) => `/maps/${number % 20}/refresh`,
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
      path: (number) => `/issues/${number % 900}`,
      keyed: false,
      requestsPerSecond: 405,
      bodyBytes: 900,
    },
    {
      route: "resolves",
      service: "triage",
      method: "POST",
      path: (number) => `/issues/${number % 900}/resolve`,
      keyed: true,
      requestsPerSecond: 120,
      bodyBytes: 80,
    },
    {
      route: "crashes",
      service: "crashes",
      method: "GET",
      path: (number) => `/crashes/${number % 60}`,
      keyed: false,
      requestsPerSecond: 15,
      bodyBytes: 350_000,
    },
    {
      route: "syncs",
      service: "crashes",
      method: "POST",
      path: (number) => `/syncs/${number % 30}`,
      keyed: false,
      requestsPerSecond: 10,
      bodyBytes: 100,
    },
  ],
  moves: { resolves: ["triage", "issues"], syncs: ["crashes", "issues"] },
};

/** Five voters, two of which may be lost at once, with the client traffic of rastro. */
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

/** Creates a config for a profile. `probe` numbers a route that no other config has. */
export function profileConfig(
  profile: Profile,
  probe: number,
  moved: Readonly<Record<string, string>> = {},
  extraRoutes = 0,
): Config {
  const config: Config = { services: {}, routes: {}, goals: {} };
  const [firstService] = Object.keys(profile.backends);
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
      service: firstService ?? "",
    };
  config.routes[`probe-${probe}`] = {
    match: { path: `/probe/${probe}`, methods: ["GET"] },
    service: firstService ?? "",
    giveUpMs: 3000,
  };
  return config;
}
