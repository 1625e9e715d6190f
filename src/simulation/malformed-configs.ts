import type { Config } from "../configuration/config.js";
import type { Profile } from "./profile.js";

/** Creates malformed configs from a valid one, each with one fault. */
export const malformedConfigs = (valid: Config, profile: Profile, probe: number): string[] => {
  const route = { match: { path: "/astray" }, service: Object.keys(profile.backends)[0] };
  const withRoute = (change: Record<string, unknown>): unknown => ({
    ...valid,
    routes: { ...valid.routes, astray: { ...route, ...change } },
  });
  return [
    "{not json",
    "null",
    "[]",
    '"{}"',
    `${JSON.stringify(valid).slice(0, -1)}`,
    JSON.stringify({ ...valid, surprise: true }),
    ...[
      { routes: valid.routes },
      { services: valid.services },
      { ...valid, services: [] },
      { ...valid, routes: null },
      { ...valid, goals: 7 },
      { ...valid, services: { ...valid.services, Loud: {} } },
      { ...valid, services: { ...valid.services, odd: { stampHeader: "not a header" } } },
      { ...valid, services: { ...valid.services, odd: { inHand: 0 } } },
      { ...valid, services: { ...valid.services, odd: { inHand: 1.5 } } },
      { ...valid, services: { ...valid.services, odd: { colour: "red" } } },
      { ...valid, goals: { checklists: { latencyMs: -1 }, issues: { latencyMs: -1 } } },
      { ...valid, goals: { "probe-1": { latencyMs: "fast" } } },
      { ...valid, goals: { nowhere: { latencyMs: 5 } } },
      {
        ...valid,
        goals: { ...valid.goals, [`probe-${probe}`]: { latencyMs: 5, furtherTries: 6 } },
      },
      withRoute({ service: "nowhere" }),
      withRoute({ service: 3 }),
      withRoute({ match: {} }),
      withRoute({ match: { path: "astray" } }),
      withRoute({ match: { path: "/as tray" } }),
      withRoute({ match: { path: "/a*b" } }),
      withRoute({ match: { path: "/astray", methods: [] } }),
      withRoute({ match: { path: "/astray", methods: ["FETCH"] } }),
      withRoute({ match: { path: "/astray", methods: "GET" } }),
      withRoute({ match: { path: "/astray", host: "x" } }),
      withRoute({ repeat: "always" }),
      withRoute({ repeat: "safe", match: { path: "/astray", methods: ["POST"] } }),
      withRoute({ keyed: "yes" }),
      withRoute({ giveUpMs: 49 }),
      withRoute({ giveUpMs: 30_001 }),
      withRoute({ giveUpMs: null }),
      withRoute({ surprise: 1 }),
    ].map((value) => JSON.stringify(value)),
  ];
};
