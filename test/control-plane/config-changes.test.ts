import { beforeEach, describe, expect, test } from "vitest";
import { shippedProfiles } from "../../src/simulation/profile.js";
import { Simulation } from "../../src/simulation/simulation.js";

interface ConfigResponse {
  code: number;
  etag: string | undefined;
  body: unknown;
}

const sampleConfig = {
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
): ConfigResponse[] => {
  const responses: ConfigResponse[] = [];
  const text = typeof body === "string" ? body : body === undefined ? "" : JSON.stringify(body);
  simulation.machines[at]?.daemon?.adminRequests.emit({
    clientRequest: { method, target, headers, body: Buffer.from(text) },
    respond: (response) =>
      responses.push({
        code: response.code,
        etag: response.headers["etag"],
        body: JSON.parse(Buffer.from(response.body).toString()),
      }),
  });
  return responses;
};
const wait = (forMs = 1500): void =>
  simulation.virtualClock.runUntil(simulation.virtualClock.nowMs() + forMs);
const request = (
  method: string,
  target: string,
  body?: unknown,
  headers: Record<string, string> = {},
  at = 0,
): ConfigResponse => {
  const responses = send(method, target, body, headers, at);
  wait();
  return responses[0] ?? { code: 0, etag: undefined, body: undefined };
};
const versionHeaders = (
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
    expect(request("PUT", "/config", sampleConfig, versionHeaders(7, 0))).toEqual({
      code: 200,
      etag: '"7"',
      body: { sequence: 7, version: 7 },
    });
    expect(
      request("PUT", "/config", { ...sampleConfig, origin: "second" }, versionHeaders(30, 7), 1)
        .body,
    ).toEqual({
      sequence: 30,
      version: 30,
    });
    expect(request("PATCH", "/config", { origin: "third" }).body).toEqual({
      sequence: 31,
      version: 31,
    });
    expect(request("GET", "/config", undefined, {}, 4)).toMatchObject({
      code: 200,
      etag: '"31"',
      body: { sequence: 31, version: 31, config: { ...sampleConfig, origin: "third" } },
    });
    expect(request("GET", "/config/7")).toMatchObject({
      code: 200,
      etag: '"7"',
      body: { version: 7, changeId: "c7", config: sampleConfig },
    });
    expect(JSON.stringify(request("GET", "/config/7").body)).toContain(
      JSON.stringify(sampleConfig.routes.a.origin),
    );
    expect(request("GET", "/config/30")).toMatchObject({ body: { config: { origin: "second" } } });
    expect(
      [1, 2, 6, 8, 29, 32].map((version) => request("GET", `/config/${version}`).code),
    ).toEqual([404, 404, 404, 404, 404, 404]);
  });

  test("a retry precedes the check of the base, that one the check of the version, and a version must rise", () => {
    request("PUT", "/config", sampleConfig, versionHeaders(7, 0));
    expect(request("PUT", "/config", sampleConfig, versionHeaders(7, 0, "other"))).toMatchObject({
      code: 412,
      body: { sequence: 7, version: 7 },
    });
    expect(request("PUT", "/config", sampleConfig, versionHeaders(7, 7, "other"))).toMatchObject({
      code: 400,
      body: { faults: [{ path: "version", expected: "a version above 7" }] },
    });
    expect(request("PUT", "/config", sampleConfig, versionHeaders(9, 7)).code).toBe(200);
    expect(request("PUT", "/config", sampleConfig, versionHeaders(7, 0))).toMatchObject({
      code: 200,
      body: { version: 7 },
    });
    expect(request("PUT", "/config", sampleConfig, { "config-version": "r7" })).toMatchObject({
      code: 400,
      body: { faults: [{ path: "Config-Version" }] },
    });
  });

  test("of several concurrent changes on one base one is accepted, and its configuration is active", () => {
    const racers = [10, 12, 11].map((version, at) =>
      send("PUT", "/config", { ...sampleConfig, origin: version }, versionHeaders(version, 0), at),
    );
    wait();
    const codes = racers.map(([answer]) => answer?.code ?? 0);
    expect([...codes].sort()).toEqual([200, 412, 412]);
    const won = [10, 12, 11][codes.indexOf(200)];
    expect(request("GET", "/config")).toMatchObject({
      body: { version: won, config: { origin: won } },
    });
  });

  test("items are replaced as a whole and removed by name, and the others stay as they were sent", () => {
    request("PUT", "/config", sampleConfig, versionHeaders(3, 0));
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
    expect(request("POST", "/config/items", change, versionHeaders(8, 3), 2)).toEqual({
      code: 200,
      etag: '"8"',
      body: { sequence: 8, version: 8 },
    });
    const config = {
      ...sampleConfig,
      services: { ...sampleConfig.services, three: { tls: false } },
      routes: { b: route },
      goals: { b: sampleConfig.goals.b },
    };
    expect(request("GET", "/config")).toMatchObject({ body: { version: 8, config } });
    expect(
      request("POST", "/config/items", { remove: { services: ["three"] } }, versionHeaders(9, 8)),
    ).toMatchObject({ code: 400, body: { faults: [{ path: "routes.b.split.1.service" }] } });
    expect(
      request("POST", "/config/items", { remove: { services: "three" } }, versionHeaders(9, 8))
        .code,
    ).toBe(400);
    expect(
      request("POST", "/config/items", { put: { limits: { idleMs: 1 } } }, versionHeaders(9, 8))
        .code,
    ).toBe(200);
    expect(request("GET", "/config")).toMatchObject({
      body: { config: { ...config, limits: { idleMs: 1 } } },
    });
    expect(
      request("PUT", "/config", JSON.stringify(sampleConfig).slice(0, -9), versionHeaders(20)).code,
    ).toBe(400);
  });

  test("an old version is found among hundreds", () => {
    const versions: number[] = [];
    for (let at = 0; at < 260; at += 1) {
      const version = (versions.at(-1) ?? 0) + 1 + ((at * 7) % 5);
      versions.push(version);
      send("PUT", "/config", { ...sampleConfig, origin: version }, versionHeaders(version));
      wait(60);
    }
    wait();
    const asked = Array.from({ length: 250 }, (_, at) => at + 1).map((version) => ({
      version,
      responses: send("GET", `/config/${version}`),
    }));
    wait(4000);
    for (const { version, answers: responses } of asked)
      expect(responses, `${version}`).toMatchObject([
        versions.includes(version)
          ? { code: 200, body: { version, config: { origin: version } } }
          : { code: 404 },
      ]);
    for (const at of [100, 200, 259])
      expect(request("GET", `/config/${versions[at]}`)).toMatchObject({
        code: 200,
        body: { version: versions[at], config: { origin: versions[at] } },
      });
  });
});
