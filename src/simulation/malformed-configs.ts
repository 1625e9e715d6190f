import type { Config } from "../configuration/config.js";
import type { Profile } from "./profile.js";

/** Texts that are no configuration, each wrong in one field; made from a good one. */
export const malformedConfigs = (good: Config, profile: Profile, probe: number): string[] => {
  const route = { match: { path: "/astray" }, service: Object.keys(profile.backends)[0] };
  const routeWith = (more: Record<string, unknown>): unknown => ({
    ...good,
    routes: { ...good.routes, astray: { ...route, ...more } },
  });
  return [
    "{not json",
    "null",
    "[]",
    '"{}"',
    `${JSON.stringify(good).slice(0, -1)}`,
    JSON.stringify({ ...good, surprise: true }),
    ...[
      { routes: good.routes },
      { services: good.services },
      { ...good, services: [] },
      { ...good, routes: null },
      { ...good, goals: 7 },
      { ...good, services: { ...good.services, Loud: {} } },
      { ...good, services: { ...good.services, odd: { stampHeader: "not a header" } } },
      { ...good, services: { ...good.services, odd: { inHand: 0 } } },
      { ...good, services: { ...good.services, odd: { inHand: 1.5 } } },
      { ...good, services: { ...good.services, odd: { colour: "red" } } },
      { ...good, goals: { checklists: { latencyMs: -1 }, issues: { latencyMs: -1 } } },
      { ...good, goals: { "probe-1": { latencyMs: "fast" } } },
      { ...good, goals: { nowhere: { latencyMs: 5 } } },
      {
        ...good,
        goals: { ...good.goals, [`probe-${probe}`]: { latencyMs: 5, furtherTries: 6 } },
      },
      routeWith({ service: "nowhere" }),
      routeWith({ service: 3 }),
      routeWith({ match: {} }),
      routeWith({ match: { path: "astray" } }),
      routeWith({ match: { path: "/as tray" } }),
      routeWith({ match: { path: "/a*b" } }),
      routeWith({ match: { path: "/astray", methods: [] } }),
      routeWith({ match: { path: "/astray", methods: ["FETCH"] } }),
      routeWith({ match: { path: "/astray", methods: "GET" } }),
      routeWith({ match: { path: "/astray", host: "x" } }),
      routeWith({ repeat: "always" }),
      routeWith({ repeat: "safe", match: { path: "/astray", methods: ["POST"] } }),
      routeWith({ keyed: "yes" }),
      routeWith({ giveUpMs: 49 }),
      routeWith({ giveUpMs: 30_001 }),
      routeWith({ giveUpMs: null }),
      routeWith({ surprise: 1 }),
    ].map((value) => JSON.stringify(value)),
  ];
};
