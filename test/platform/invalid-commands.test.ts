import { describe, expect, test } from "vitest";
import { ControlFixture, routeTo, putConfig, type ConfigChangeBytes } from "./command-stage.js";

const machines = ["e:a", "d:a", "d:b", "d:c"];
type Spec = Record<string, unknown>;

const service = { type: "services", meta: { name: "one" }, spec: { maxConns: 66 } };

/** A valid route with some fields of its spec replaced. */
const routeWith = (fields: Spec): unknown => {
  const route = routeTo("bent", "one");
  return { ...route, spec: { ...route.spec, ...fields } };
};
const split = (weights: Array<[svc: string, wt: number]>): Spec => ({
  svc: undefined,
  split: weights.map(([svc, wt]) => ({ svc, wt })),
});

/** Routes that are invalid by the platform's documentation, each with one fault, by that fault. */
const invalidRoutes: Record<string, unknown> = {
  "an unknown service": routeWith({ svc: "nowhere" }),
  "an unknown service of weight 0 in a split": routeWith(
    split([
      ["one", 1],
      ["nowhere", 0],
    ]),
  ),
  "a weight below 0": routeWith(
    split([
      ["one", 2],
      ["one", -1],
    ]),
  ),
  "a weight slightly below 0": routeWith(
    split([
      ["one", 2],
      ["one", -0.000_1],
    ]),
  ),
  "a deadline over ten minutes": routeWith({ deadline: "600001ms" }),
  "a deadline of eleven minutes in seconds": routeWith({ deadline: "660s" }),
  "no tries": routeWith({ tries: 0 }),
  "an unknown kind": routeWith({ kind: "sometimes" }),
  "a kind in a different case": routeWith({ kind: "Safe" }),
  "no deadline": routeWith({ deadline: undefined }),
  "a deadline that is no duration": routeWith({ deadline: "soon" }),
  "tries below 0": routeWith({ tries: -1 }),
};

const put = (base: number, version: string, objs: readonly unknown[]): ConfigChangeBytes => ({
  target: "config/put",
  base: `r${base}`,
  body: JSON.stringify({ ver: version, objs }),
});
const patch = (base: number, version: string, change: Spec): ConfigChangeBytes => ({
  target: "config/patch",
  base: `r${base}`,
  body: JSON.stringify({ ver: version, ...change }),
});

/** Invalid changes of a base version, by their fault. */
const invalidChanges = (base: number): Array<[string, ConfigChangeBytes]> => {
  const next = `r${base + 2}`;
  const validChange = put(base, next, [routeTo("x", "one"), service]);
  const routes = Object.entries(invalidRoutes);
  return [
    ...routes.map(([fault, route]): [string, ConfigChangeBytes] => [
      `put: ${fault}`,
      put(base, next, [routeTo("x", "one"), route, service]),
    ]),
    ...routes.map(([fault, route]): [string, ConfigChangeBytes] => [
      `patch: ${fault}`,
      patch(base, next, { upsert: { objs: [route] } }),
    ]),
    [
      "patch: removal of a service that a route uses",
      patch(base, next, { remove: { services: ["one"] } }),
    ],
    ["put: the active version", put(base, `r${base}`, [routeTo("y", "one"), service])],
    ["put: an older version", put(base, `r${base - 1}`, [routeTo("y", "one"), service])],
    [
      "patch: the active version",
      patch(base, `r${base}`, { upsert: { objs: [routeTo("y", "one")] } }),
    ],
    ["put: a malformed version", put(base, "12", [routeTo("y", "one"), service])],
    ["put: a stale base", { ...validChange, base: `r${base - 1}` }],
    ["put: a future base", { ...validChange, base: `r${base + 1}` }],
    ...[1, 9, Math.floor(validChange.body.length / 2), validChange.body.length - 1].map(
      (bytes): [string, ConfigChangeBytes] => [
        `put: truncated after ${bytes} bytes`,
        { ...validChange, body: validChange.body.slice(0, bytes) },
      ],
    ),
  ];
};

const startFixture = (): ControlFixture => {
  const fixture = new ControlFixture(machines, [0, 1, 2]);
  fixture.bootAll();
  fixture.wait(4000);
  expect(fixture.submitUntilFinal(putConfig(0, 3, "first"))).toBe(200);
  return fixture;
};

const submitAndAwaitCode = (
  fixture: ControlFixture,
  command: ConfigChangeBytes,
  at: number,
): number | undefined => {
  const request = fixture.submit(fixture.machineAt(at % machines.length), command);
  fixture.waitUntil(() => request.code !== undefined, 1000);
  return request.code;
};

describe("invalid configuration change", () => {
  test("it and its retries are refused through every daemon, and the active configuration stays", () => {
    const fixture = startFixture();
    for (const [fault, command] of invalidChanges(3))
      for (let at = 0; at < machines.length; at += 1) {
        const expected = fault.includes("base") ? [412] : [400, 412];
        expect(expected, `${fault}, through ${at}`).toContain(
          submitAndAwaitCode(fixture, command, at),
        );
      }
    expect(fixture.newestVersion(fixture.machineAt(0))).toBe("r3");
  });

  test("concurrent with a valid change of the same version, it is never applied, whichever is sent first", () => {
    const fixture = startFixture();
    let base = 3;
    for (const [at, [fault]] of invalidChanges(base).entries()) {
      const invalid = invalidChanges(base)[at]?.[1];
      if (!invalid) throw new Error(`There is no invalid change ${at}.`);
      const validChange = putConfig(base, base + 2, `p${at}`);
      const pair = at % 2 === 0 ? [invalid, validChange] : [validChange, invalid];
      const requests = pair.map((command, place) =>
        fixture.submit(fixture.machineAt((at + place) % machines.length), command),
      );
      fixture.waitUntil(() => requests.every(({ code: response }) => response !== undefined), 1000);
      const [first, second] = requests.map(({ code: response }) => response);
      const [invalidCode, validCode] = at % 2 === 0 ? [first, second] : [second, first];
      expect([400, 412], fault).toContain(invalidCode);
      expect(validCode, fault).toBe(200);
      base += 2;
      expect(fixture.newestVersion(fixture.machineAt(0)), fault).toBe(`r${base}`);
    }
  });

  test("a change that is valid by itself but invalid after a concurrent change is refused", () => {
    const fixture = startFixture();
    expect(
      submitAndAwaitCode(
        fixture,
        patch(3, "r4", { upsert: { objs: [{ ...service, meta: { name: "two" } }] } }),
        0,
      ),
    ).toBe(200);
    const removal = fixture.submit(
      fixture.machineAt(1),
      patch(4, "r5", { remove: { services: ["two"] } }),
    );
    const addition = fixture.submit(
      fixture.machineAt(2),
      patch(4, "r6", { upsert: { objs: [routeTo("needs", "two")] } }),
    );
    fixture.waitUntil(() => removal.code !== undefined && addition.code !== undefined, 1000);
    expect([removal.code, addition.code].sort()).toEqual([200, 412]);
    const version = removal.code === 200 ? 5 : 6;
    const invalidChange =
      removal.code === 200
        ? patch(5, "r9", { upsert: { objs: [routeTo("needs", "two")] } })
        : patch(6, "r9", { remove: { services: ["two"] } });
    expect(submitAndAwaitCode(fixture, invalidChange, 3)).toBe(400);
    expect(fixture.newestVersion(fixture.machineAt(0))).toBe(`r${version}`);
  });

  test("during a leader change it is never acknowledged, and an unknown outcome is not reported as a refusal", () => {
    const fixture = startFixture();
    const previousLeader = fixture.leader;
    const followers = fixture.machines.filter((machine) => machine !== previousLeader);
    fixture.kill(previousLeader);
    for (const [at, [fault, command]] of invalidChanges(3).entries()) {
      const through = followers[at % followers.length];
      if (!through) throw new Error("There is no follower.");
      const request = fixture.submit(through, command);
      fixture.wait(30);
      if (request.code === undefined) fixture.waitUntil(() => request.code !== undefined, 1000);
      expect([400, 412, 503, 504], fault).toContain(request.code);
    }
    fixture.waitUntil(
      () => fixture.diskMachines.some(({ daemon }) => daemon?.replicationNode?.holdsLease === true),
      5000,
    );
    fixture.wait(1000);
    expect(followers.map((machine) => fixture.newestVersion(machine))).toEqual(
      followers.map(() => "r3"),
    );
  });
});
