import { expect, test } from "vitest";
import type { Config } from "../../src/configuration/config.js";
import type { ActiveRoute } from "../../src/cluster-view/active-route.js";
import { RouteTable } from "../../src/cluster-view/route-table.js";
import { RandomDraw } from "../../src/simulation/random-draw.js";

/** The route that a linear search finds. */
const searchAll = (
  all: readonly ActiveRoute[],
  method: string,
  path: string,
  host: string,
): ActiveRoute | undefined => {
  const own = host.toLowerCase().split(":")[0];
  const rank = (route: ActiveRoute): number =>
    (route.host === undefined ? 0 : 1e6) + (route.isPrefix ? route.path.length : 1e5);
  return all
    .filter(
      (route) =>
        (route.host === undefined || route.host === own) && (route.methods?.has(method) ?? true),
    )
    .filter((route) => (route.isPrefix ? path.startsWith(route.path) : path === route.path))
    .sort((a, b) => rank(b) - rank(a))[0];
};

test("among 3,000 routes over several hosts, a request finds the same one as a linear search does", () => {
  const random = RandomDraw.of(7);
  const pick = <T>(from: readonly T[]): T | undefined => from[Math.floor(random() * from.length)];
  const words = ["a", "ab", "b", "c1", "lepu270", "d.e"];
  const path = (): string =>
    `/${Array.from({ length: Math.floor(random() * 6) }, () => pick(words)).join("/")}`;
  const hosts = [undefined, "One.example", "two.example", "three.example", "four.example"];
  const routes: Config["routes"] = {};
  const taken = new Set<string>();
  for (let index = 0; taken.size < 3000; index += 1) {
    const host = pick(hosts);
    const own = path();
    const ends =
      random() < 0.7 ? `${own.endsWith("/") ? own : `${own}/`}*` : random() < 0.5 ? `${own}*` : own;
    const methods = random() < 0.2 ? { methods: ["GET" as const] } : {};
    const key = `${host} ${ends}`;
    if (taken.has(key)) continue;
    taken.add(key);
    routes[`r-${index}`] = {
      match: { path: ends, ...(host === undefined ? {} : { host }), ...methods },
      service: "s",
    };
  }
  const routeTable = new RouteTable({ services: { s: {} }, routes });
  let found = 0;
  for (let round = 0; round < 3000; round += 1) {
    const request = [
      random() < 0.5 ? "GET" : "POST",
      `${path()}${random() < 0.3 ? "/" : ""}`,
      pick([
        "one.EXAMPLE:8080",
        "two.example",
        "three.example:80",
        "four.example",
        "none.example",
        "",
      ]) ?? "",
    ] as const;
    const expected = searchAll(routeTable.all, ...request);
    expect(routeTable.find(...request)?.name, request.join(" ")).toBe(expected?.name);
    found += expected ? 1 : 0;
  }
  expect(found).toBeGreaterThan(1000);
  expect(routeTable.find("GET", "/".repeat(100_000), "two.example")?.name).toBe(
    searchAll(routeTable.all, "GET", "/".repeat(100_000), "two.example")?.name,
  );
});

test("a route for the host precedes one for any host, and a longer prefix a shorter one", () => {
  const routeTable = new RouteTable({
    services: { s: {} },
    routes: {
      any: { match: { path: "/x/y/*" }, service: "s" },
      own: { match: { host: "A.example", path: "/x/*" }, service: "s" },
      deep: { match: { host: "a.example", path: "/x/y/z/*" }, service: "s" },
    },
  });
  const name = (path: string, host?: string): string | undefined =>
    routeTable.find("GET", path, host)?.name;
  expect([
    name("/x/y/", "a.EXAMPLE:81"),
    name("/x/y/z/1", "a.example"),
    name("/x/y/z/1"),
    name("/x/y/z/1", "b.example"),
    name("/x/q", "b.example"),
    name("/x", "a.example"),
  ]).toEqual(["own", "deep", "any", "any", undefined, undefined]);
});

test("a service is chosen by weight, and one of weight 0 never", () => {
  const split = [
    { service: "none", weight: 0 },
    { service: "much", weight: 90 },
    { service: "few", weight: 9.5 },
    { service: "rare", weight: 0.5 },
    { service: "last", weight: 0 },
  ];
  const services = Object.fromEntries(split.map(({ service }) => [service, {}]));
  const route = new RouteTable({
    services,
    routes: { r: { match: { path: "/*" }, split } },
  }).findByName("r");
  const counts = new Map<string, number>();
  for (let index = 0; index < 10_000; index += 1) {
    const service = route?.chooseService(index / 10_000) ?? "";
    counts.set(service, (counts.get(service) ?? 0) + 1);
  }
  expect(Object.fromEntries(counts)).toEqual({ much: 9000, few: 950, rare: 50 });
  expect(route?.chooseService(1 - Number.EPSILON / 2)).toBe("rare");
  expect(split.map(({ service }) => route?.routesTo(service))).toEqual([
    false,
    true,
    true,
    true,
    false,
  ]);
  expect([route?.service, route?.splits]).toEqual(["none", split]);
});

test("the kind of a route decides whether it is repeatable and keyed, whatever its methods and older fields say", () => {
  const route = (more: Partial<Config["routes"][string]>): Config["routes"][string] => ({
    match: { path: "/*", methods: ["POST"] },
    service: "s",
    ...more,
  });
  const { all } = new RouteTable({
    services: { s: {} },
    routes: {
      safe: route({ kind: "safe", repeat: "never", keyed: true }),
      download: route({ kind: "download" }),
      unsafe: route({ kind: "unsafe", match: { path: "/*", methods: ["GET"] }, keyed: true }),
      idempotent: route({ kind: "idempotent" }),
      older: route({ keyed: true }),
    },
  });
  expect(
    all.map(({ kind, repeatable, keyed, isDownload }) => [kind, repeatable, keyed, isDownload]),
  ).toEqual([
    ["safe", true, false, false],
    ["download", true, false, true],
    ["unsafe", false, false, false],
    ["idempotent", false, true, false],
    ["idempotent", false, true, false],
  ]);
});

test("attempts include the first one, and limits and services can be looked up", () => {
  const routeTable = new RouteTable({
    services: { s: { keepsKeys: true } },
    routes: {
      given: { match: { path: "/a" }, service: "s", attempts: 4, priority: 0 },
      usual: { match: { path: "/b" }, service: "s" },
      goal: { match: { path: "/c" }, service: "s" },
    },
    goals: { given: { latencyMs: 70, furtherTries: 0 }, goal: { latencyMs: 5, furtherTries: 2 } },
    limits: { idleMs: 9 },
  });
  expect(
    routeTable.all.map(
      ({ attempts, maxRetries: furtherTries, latencyTargetMs: goalMs, priority }) => [
        attempts,
        furtherTries,
        goalMs,
        priority,
      ],
    ),
  ).toEqual([
    [4, 3, 70, 0],
    [2, 1, 1000, 5],
    [3, 2, 5, 5],
  ]);
  expect([
    routeTable.limits,
    routeTable.service("s"),
    routeTable.service("toString"),
    routeTable.findByName("toString"),
  ]).toEqual([{ idleMs: 9 }, { keepsKeys: true }, undefined, undefined]);
});

test("the most specific route that allows the method is found", () => {
  const routeTable = new RouteTable({
    services: { a: {}, b: {} },
    routes: {
      all: { match: { path: "/x/*" }, service: "a" },
      deep: { match: { path: "/x/y/*", methods: ["GET"] }, service: "b" },
      one: { match: { path: "/x/y/z", methods: ["PUT"] }, service: "b" },
    },
  });
  const found = (method: string, path: string) => routeTable.find(method, path)?.name;
  expect([
    found("GET", "/x/y/z"),
    found("PUT", "/x/y/z"),
    found("POST", "/x/y/q"),
    found("GET", "/"),
  ]).toEqual(["deep", "one", "all", undefined]);
  expect(routeTable.all.map((route) => route.repeatable)).toEqual([false, true, false]);
});
