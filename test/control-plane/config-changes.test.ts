import { beforeEach, describe, expect, test } from "vitest";
import { shippedProfiles } from "../../src/simulation/profile.js";
import { Simulation } from "../../src/simulation/simulation.js";

interface Answer {
  code: number;
  etag: string | undefined;
  body: unknown;
}

const set = {
  services: { one: { origin: { type: "services", spec: { healthPath: "/h" } } }, two: {} },
  routes: {
    a: {
      match: { host: "a.example", path: "/a/*" },
      service: "one",
      kind: "safe",
      origin: { meta: { name: "a" }, spec: { deadline: "1000ms", zeta: 1, alpha: [2.5, null] } },
    },
    b: { match: { path: "/b" }, service: "two" },
  },
  goals: { a: { latencyMs: 250 }, b: { latencyMs: 300 } },
  limits: { headerBytes: 16_384, origin: { hdrRead: "3000ms" } },
  origin: ["whole"],
};

let simulation: Simulation;
beforeEach(() => {
  simulation = new Simulation(shippedProfiles.rastro, 5, 0.01);
  for (const machine of simulation.machines) simulation.boot(machine);
  simulation.virtualClock.runUntil(6000);
});

const send = (
  method: string,
  target: string,
  body?: unknown,
  headers: Record<string, string> = {},
  at = 0,
): Answer[] => {
  const answers: Answer[] = [];
  const text = typeof body === "string" ? body : body === undefined ? "" : JSON.stringify(body);
  simulation.machines[at]?.daemon?.adminRequests.emit({
    clientRequest: { method, target, headers, body: Buffer.from(text) },
    respond: (response) =>
      answers.push({
        code: response.code,
        etag: response.headers["etag"],
        body: JSON.parse(Buffer.from(response.body).toString()),
      }),
  });
  return answers;
};
const wait = (forMs = 1500): void =>
  simulation.virtualClock.runUntil(simulation.virtualClock.nowMs() + forMs);
const ask = (
  method: string,
  target: string,
  body?: unknown,
  headers: Record<string, string> = {},
  at = 0,
): Answer => {
  const answers = send(method, target, body, headers, at);
  wait();
  return answers[0] ?? { code: 0, etag: undefined, body: undefined };
};
const chosen = (
  version: number,
  base?: number,
  changeId = `c${version}`,
): Record<string, string> => ({
  "config-version": `${version}`,
  "change-id": changeId,
  ...(base === undefined ? {} : { "if-match": `"${base}"` }),
});

describe("configuration changes", () => {
  test("versions may be chosen with gaps, and each is read back under its own, with every origin as it was sent", () => {
    expect(ask("PUT", "/config", set, chosen(7, 0))).toEqual({
      code: 200,
      etag: '"7"',
      body: { sequence: 7, version: 7 },
    });
    expect(ask("PUT", "/config", { ...set, origin: "second" }, chosen(30, 7), 1).body).toEqual({
      sequence: 30,
      version: 30,
    });
    expect(ask("PATCH", "/config", { origin: "third" }).body).toEqual({
      sequence: 31,
      version: 31,
    });
    expect(ask("GET", "/config", undefined, {}, 4)).toMatchObject({
      code: 200,
      etag: '"31"',
      body: { sequence: 31, version: 31, config: { ...set, origin: "third" } },
    });
    expect(ask("GET", "/config/7")).toMatchObject({
      code: 200,
      etag: '"7"',
      body: { version: 7, changeId: "c7", config: set },
    });
    expect(JSON.stringify(ask("GET", "/config/7").body)).toContain(
      JSON.stringify(set.routes.a.origin),
    );
    expect(ask("GET", "/config/30")).toMatchObject({ body: { config: { origin: "second" } } });
    expect([1, 2, 6, 8, 29, 32].map((version) => ask("GET", `/config/${version}`).code)).toEqual([
      404, 404, 404, 404, 404, 404,
    ]);
  });

  test("a retry precedes the check of the base, that one the check of the version, and a version must rise", () => {
    ask("PUT", "/config", set, chosen(7, 0));
    expect(ask("PUT", "/config", set, chosen(7, 0, "other"))).toMatchObject({
      code: 412,
      body: { sequence: 7, version: 7 },
    });
    expect(ask("PUT", "/config", set, chosen(7, 7, "other"))).toMatchObject({
      code: 400,
      body: { faults: [{ path: "version", expected: "a version above 7" }] },
    });
    expect(ask("PUT", "/config", set, chosen(9, 7)).code).toBe(200);
    expect(ask("PUT", "/config", set, chosen(7, 0))).toMatchObject({
      code: 200,
      body: { version: 7 },
    });
    expect(ask("PUT", "/config", set, { "config-version": "r7" })).toMatchObject({
      code: 400,
      body: { faults: [{ path: "Config-Version" }] },
    });
  });

  test("of several concurrent changes on one base one is accepted, and its configuration is active", () => {
    const racers = [10, 12, 11].map((version, at) =>
      send("PUT", "/config", { ...set, origin: version }, chosen(version, 0), at),
    );
    wait();
    const codes = racers.map(([answer]) => answer?.code ?? 0);
    expect([...codes].sort()).toEqual([200, 412, 412]);
    const won = [10, 12, 11][codes.indexOf(200)];
    expect(ask("GET", "/config")).toMatchObject({
      body: { version: won, config: { origin: won } },
    });
  });

  test("items are replaced as a whole and removed by name, and the others stay as they were sent", () => {
    ask("PUT", "/config", set, chosen(3, 0));
    const route = {
      match: { path: "/b/*" },
      split: [
        { service: "one", weight: 1 },
        { service: "three", weight: 3 },
      ],
      origin: { spec: { split: "as sent" } },
    };
    const change = {
      put: { services: { three: { tls: false } }, routes: { b: route } },
      remove: { routes: ["a", "never there"] },
    };
    expect(ask("POST", "/config/items", change, chosen(8, 3), 2)).toEqual({
      code: 200,
      etag: '"8"',
      body: { sequence: 8, version: 8 },
    });
    const config = {
      ...set,
      services: { ...set.services, three: { tls: false } },
      routes: { b: route },
      goals: { b: set.goals.b },
    };
    expect(ask("GET", "/config")).toMatchObject({ body: { version: 8, config } });
    expect(
      ask("POST", "/config/items", { remove: { services: ["three"] } }, chosen(9, 8)),
    ).toMatchObject({ code: 400, body: { faults: [{ path: "routes.b.split.1.service" }] } });
    expect(ask("POST", "/config/items", { remove: { services: "three" } }, chosen(9, 8)).code).toBe(
      400,
    );
    expect(
      ask("POST", "/config/items", { put: { limits: { idleMs: 1 } } }, chosen(9, 8)).code,
    ).toBe(200);
    expect(ask("GET", "/config")).toMatchObject({
      body: { config: { ...config, limits: { idleMs: 1 } } },
    });
    expect(ask("PUT", "/config", JSON.stringify(set).slice(0, -9), chosen(20)).code).toBe(400);
  });

  test("an old version is found among hundreds", () => {
    const versions: number[] = [];
    for (let at = 0; at < 260; at += 1) {
      const version = (versions.at(-1) ?? 0) + 1 + ((at * 7) % 5);
      versions.push(version);
      send("PUT", "/config", { ...set, origin: version }, chosen(version));
      wait(60);
    }
    wait();
    const asked = Array.from({ length: 250 }, (_, at) => at + 1).map((version) => ({
      version,
      answers: send("GET", `/config/${version}`),
    }));
    wait(4000);
    for (const { version, answers } of asked)
      expect(answers, `${version}`).toMatchObject([
        versions.includes(version)
          ? { code: 200, body: { version, config: { origin: version } } }
          : { code: 404 },
      ]);
    for (const at of [100, 200, 259])
      expect(ask("GET", `/config/${versions[at]}`)).toMatchObject({
        code: 200,
        body: { version: versions[at], config: { origin: versions[at] } },
      });
  });
});
