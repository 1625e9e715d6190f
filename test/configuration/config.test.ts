import { describe, expect, test } from "vitest";
import { applyItemChanges, mergePatch } from "../../src/configuration/config-changes.js";
import { checkConfig, ConfigReader } from "../../src/configuration/config-validation.js";
import { configShape } from "../../src/configuration/config-shape.js";
import { Validated } from "../../src/configuration/validated.js";
import { RandomDraw } from "../../src/simulation/random-draw.js";

const fullConfig = {
  services: {
    "Api.v2_x": {
      healthPath: "/healthz",
      maxConnections: 150,
      protocol: "h1",
      tls: false,
      keepsKeys: true,
      origin: { a: [1, null, "x"] },
    },
    b: {},
  },
  routes: {
    "R-1.a_B": {
      match: { host: "a.example", path: "/x/*" },
      split: [
        { service: "Api.v2_x", weight: 0.5 },
        { service: "b", weight: 0 },
      ],
      kind: "safe",
      attempts: 2,
      giveUpMs: 600_000,
      priority: 0,
      origin: null,
    },
    plain: { match: { path: "/y" }, service: "b" },
  },
  goals: { plain: { latencyMs: 600_000 } },
  limits: {
    headerBytes: 16_384,
    bodyBytes: 67_108_864,
    headerMs: 3000,
    idleMs: 15_000,
    origin: "as sent",
  },
  origin: { deep: { er: [] } },
};
const copyFullConfig = (): typeof fullConfig => structuredClone(fullConfig);
const findFaultPaths = (value: unknown): string[] => {
  const checked = checkConfig(value);
  return "faults" in checked ? checked.faults.map(({ path }) => path) : [];
};
const withChangedRoute = (change: Record<string, unknown>): unknown => ({
  ...copyFullConfig(),
  routes: { ...copyFullConfig().routes, plain: { ...copyFullConfig().routes.plain, ...change } },
});

describe("Config", () => {
  test("a configuration with every field is accepted, and read as it was sent", () => {
    expect(checkConfig(copyFullConfig())).toEqual({ config: fullConfig });
    expect(new ConfigReader().read(JSON.stringify(fullConfig))).toEqual(fullConfig);
  });

  test.each<[string, unknown, string[]]>([
    ["an unknown service", withChangedRoute({ service: "nowhere" }), ["routes.plain.service"]],
    [
      "a service that only every object has",
      withChangedRoute({ service: "constructor" }),
      ["routes.plain.service"],
    ],
    [
      "an unknown service in a split",
      withChangedRoute({
        service: undefined,
        split: [
          { service: "b", weight: 1 },
          { service: "nowhere", weight: 1 },
        ],
      }),
      ["routes.plain.split.1.service"],
    ],
    [
      "a weight below 0",
      withChangedRoute({ service: undefined, split: [{ service: "b", weight: -0.1 }] }),
      ["routes.plain.split.0.weight"],
    ],
    [
      "weights that are all 0",
      withChangedRoute({ service: undefined, split: [{ service: "b", weight: 0 }] }),
      ["routes.plain.split"],
    ],
    [
      "a split of nothing",
      withChangedRoute({ service: undefined, split: [] }),
      ["routes.plain.split"],
    ],
    [
      "both a service and a split",
      withChangedRoute({ split: [{ service: "b", weight: 1 }] }),
      ["routes.plain.service"],
    ],
    [
      "neither a service nor a split",
      withChangedRoute({ service: undefined }),
      ["routes.plain.service"],
    ],
    ["a time over ten minutes", withChangedRoute({ giveUpMs: 600_001 }), ["routes.plain.giveUpMs"]],
    ["no attempts", withChangedRoute({ attempts: 0 }), ["routes.plain.attempts"]],
    ["too many attempts", withChangedRoute({ attempts: 11 }), ["routes.plain.attempts"]],
    ["an unknown kind", withChangedRoute({ kind: "risky" }), ["routes.plain.kind"]],
    ["a rank out of bounds", withChangedRoute({ priority: 10 }), ["routes.plain.priority"]],
    [
      "a host with a port",
      withChangedRoute({ match: { path: "/", host: "a:80" } }),
      ["routes.plain.match.host"],
    ],
    [
      "a limit that is no number",
      { ...copyFullConfig(), limits: { bodyBytes: "much" } },
      ["limits.bodyBytes"],
    ],
    ["an unknown limit", { ...copyFullConfig(), limits: { patience: 1 } }, ["limits.patience"]],
    [
      "a name that is too long",
      { ...copyFullConfig(), services: { ...copyFullConfig().services, ["n".repeat(101)]: {} } },
      [`services.${"n".repeat(101)}`],
    ],
    [
      "a name that no object should have",
      { ...copyFullConfig(), services: { ...copyFullConfig().services, ["__proto__"]: {} } },
      ["services.__proto__"],
    ],
    [
      "a goal of no route",
      { ...copyFullConfig(), goals: { toString: { latencyMs: 1 } } },
      ["goals.toString"],
    ],
  ])("%s is refused with its path", (_, value, paths) => {
    expect(findFaultPaths(value)).toEqual(paths);
  });

  test("items are replaced as a whole or removed, and a route's goal is removed with it", () => {
    const none = { services: [], routes: [], goals: [] };
    const put = applyItemChanges(
      fullConfig,
      { routes: { plain: { match: { path: "/z" }, service: "b", origin: { text: "new" } } } },
      none,
    );
    expect(put).toEqual({
      ...fullConfig,
      routes: {
        ...fullConfig.routes,
        plain: { match: { path: "/z" }, service: "b", origin: { text: "new" } },
      },
    });
    const removed = applyItemChanges(fullConfig, {}, { ...none, routes: ["plain", "not there"] });
    expect(removed).toEqual({
      ...fullConfig,
      routes: { "R-1.a_B": fullConfig.routes["R-1.a_B"] },
      goals: {},
    });
    expect(
      applyItemChanges(fullConfig, { goals: { plain: null }, limits: { idleMs: 5 } }, none),
    ).toEqual({
      ...fullConfig,
      goals: {},
      limits: { idleMs: 5 },
    });
    expect(applyItemChanges(fullConfig, { limits: null }, none)).not.toHaveProperty("limits");
    expect(findFaultPaths(applyItemChanges(fullConfig, {}, { ...none, services: ["b"] }))).toEqual([
      "routes.R-1.a_B.split.1.service",
      "routes.plain.service",
    ]);
    expect(
      findFaultPaths(applyItemChanges(fullConfig, { services: { ["__proto__"]: {} } }, none)),
    ).toEqual(["services.__proto__"]);
  });

  test("whatever part of a configuration is altered, the fast guard accepts exactly what the shapes accept", () => {
    const random = RandomDraw.of(3);
    const junk = [
      null,
      -1,
      0.5,
      1e308,
      "",
      "x y",
      "GET",
      true,
      [],
      [null],
      {},
      { service: "b" },
      undefined,
      "/a/*",
      ["GET", "FETCH"],
    ];
    const bend = (value: unknown, depth: number): unknown => {
      if (depth === 0 || typeof value !== "object" || value === null)
        return junk[Math.floor(random() * junk.length)];
      const entries: Array<[string, unknown]> = Object.entries(value);
      const at = Math.floor(random() * (entries.length + 1));
      const bent = entries.map<[string, unknown]>(([key, one], place) =>
        place === at ? [key, bend(one, depth - 1)] : [key, one],
      );
      if (at === entries.length) bent.push([random() < 0.5 ? "extra" : "origin", 1]);
      return Array.isArray(value) ? bent.map(([, one]) => one) : Object.fromEntries(bent);
    };
    let refused = 0;
    for (let round = 0; round < 4000; round += 1) {
      const value = bend(fullConfig, 1 + Math.floor(random() * 5));
      const slow = configShape.is(value);
      expect(Validated.accepts(configShape, value), JSON.stringify(value)).toBe(slow);
      refused += slow ? 0 : 1;
    }
    expect(refused).toBeGreaterThan(1000);
    expect(refused).toBeLessThan(3900);
  });

  const good = {
    services: { sightings: {} },
    routes: {
      post: { match: { methods: ["POST"], path: "/sightings" }, service: "sightings", keyed: true },
    },
    goals: { post: { latencyMs: 200 } },
  };
  test("a configuration is refused with all faults and their paths", () => {
    expect(checkConfig(good)).toEqual({ config: good });
    const checked = checkConfig({
      ...good,
      goals: { post: { latencyMs: -3 }, ghost: { latencyMs: 5 } },
      extra: 1,
    });
    expect("faults" in checked && checked.faults.map((fault) => fault.path).sort()).toEqual([
      "extra",
      "goals.post.latencyMs",
    ]);
    const semantic = checkConfig({
      ...good,
      routes: { post: { match: { path: "/x" }, service: "nowhere", repeat: "safe" } },
      goals: { ghost: { latencyMs: 5 } },
    });
    expect("faults" in semantic && semantic.faults.map((fault) => fault.path)).toEqual([
      "routes.post.service",
      "routes.post.repeat",
      "goals.ghost",
    ]);
  });

  test("a reader of accepted configurations is independent of those that it read before", () => {
    const reader = new ConfigReader();
    const more = {
      ...good,
      routes: { ...good.routes, late: { match: { path: "/late" }, service: "sightings" } },
      goals: { post: { latencyMs: 90 } },
    };
    for (const config of [good, more, good, { services: {}, routes: {}, goals: {} }, more])
      expect(reader.read(JSON.stringify(config))).toEqual(config);
    expect(() =>
      reader.read(JSON.stringify({ ...good, goals: { post: { latencyMs: -1 } } })),
    ).toThrow();
  });

  test("a merge patch adds, changes and removes", () => {
    expect(mergePatch({ a: { b: 1, c: 2 }, d: [1] }, { a: { b: null, e: 3 }, d: [2] })).toEqual({
      a: { c: 2, e: 3 },
      d: [2],
    });
  });
});
