import { describe, expect, test } from "vitest";
import { ControlFixture, routeTo, putConfig, type ConfigChangeBytes } from "./command-stage.js";

const machines = ["e:a", "d:a", "d:b", "d:c"];
type Spec = Record<string, unknown>;

const service = { type: "services", meta: { name: "one" }, spec: { maxConns: 66 } };

/** A route whose spec differs from a proper one in some fields. */
const bent = (fields: Spec): unknown => {
  const route = routeTo("bent", "one");
  return { ...route, spec: { ...route.spec, ...fields } };
};
const split = (weights: Array<[svc: string, wt: number]>): Spec => ({
  svc: undefined,
  split: weights.map(([svc, wt]) => ({ svc, wt })),
});

/** What the platform's pages call invalid: routes, each wrong in one thing. */
const invalidRoutes: Record<string, unknown> = {
  "an unknown service": bent({ svc: "nowhere" }),
  "an unknown service of weight 0 in a split": bent(
    split([
      ["one", 1],
      ["nowhere", 0],
    ]),
  ),
  "a weight below 0": bent(
    split([
      ["one", 2],
      ["one", -1],
    ]),
  ),
  "a weight a little below 0": bent(
    split([
      ["one", 2],
      ["one", -0.000_1],
    ]),
  ),
  "a deadline over ten minutes": bent({ deadline: "600001ms" }),
  "a deadline of eleven minutes in seconds": bent({ deadline: "660s" }),
  "no tries": bent({ tries: 0 }),
  "a kind that is none": bent({ kind: "sometimes" }),
  "a kind in other letters": bent({ kind: "Safe" }),
  "no deadline": bent({ deadline: undefined }),
  "a deadline without sense": bent({ deadline: "soon" }),
  "tries below 0": bent({ tries: -1 }),
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

/** All orders upon a version that are invalid, by what is wrong. */
const invalidOrders = (base: number): Array<[string, ConfigChangeBytes]> => {
  const next = `r${base + 2}`;
  const proper = put(base, next, [routeTo("x", "one"), service]);
  const routes = Object.entries(invalidRoutes);
  return [
    ...routes.map(([what, route]): [string, ConfigChangeBytes] => [
      `put: ${what}`,
      put(base, next, [routeTo("x", "one"), route, service]),
    ]),
    ...routes.map(([what, route]): [string, ConfigChangeBytes] => [
      `patch: ${what}`,
      patch(base, next, { upsert: { objs: [route] } }),
    ]),
    [
      "patch: a service goes that a route needs",
      patch(base, next, { remove: { services: ["one"] } }),
    ],
    ["put: the version in force", put(base, `r${base}`, [routeTo("y", "one"), service])],
    ["put: an older version", put(base, `r${base - 1}`, [routeTo("y", "one"), service])],
    [
      "patch: the version in force",
      patch(base, `r${base}`, { upsert: { objs: [routeTo("y", "one")] } }),
    ],
    ["put: no version", put(base, "12", [routeTo("y", "one"), service])],
    ["put: a stale base", { ...proper, base: `r${base - 1}` }],
    ["put: a base still to come", { ...proper, base: `r${base + 1}` }],
    ...[1, 9, Math.floor(proper.body.length / 2), proper.body.length - 1].map(
      (bytes): [string, ConfigChangeBytes] => [
        `put: cut short after ${bytes} bytes`,
        { ...proper, body: proper.body.slice(0, bytes) },
      ],
    ),
  ];
};

const startedFixture = (): ControlFixture => {
  const fixture = new ControlFixture(machines, [0, 1, 2]);
  fixture.bootAll();
  fixture.wait(4000);
  expect(fixture.submitUntilFinal(putConfig(0, 3, "first"))).toBe(200);
  return fixture;
};

const code = (
  fixture: ControlFixture,
  command: ConfigChangeBytes,
  at: number,
): number | undefined => {
  const call = fixture.submit(fixture.machineAt(at % machines.length), command);
  fixture.waitUntil(() => call.code !== undefined, 1000);
  return call.code;
};

describe("invalid configuration change", () => {
  test("it is refused through every daemon, as is its retry, and the configuration in force stays", () => {
    const fixture = startedFixture();
    for (const [what, command] of invalidOrders(3))
      for (let at = 0; at < machines.length; at += 1) {
        const expected = what.includes("base") ? [412] : [400, 412];
        expect(expected, `${what}, through ${at}`).toContain(code(fixture, command, at));
      }
    expect(fixture.newestVersion(fixture.machineAt(0))).toBe("r3");
  });

  test("raced against a valid change on the same version, it is never applied, whichever is sent first", () => {
    const fixture = startedFixture();
    let base = 3;
    for (const [at, [what]] of invalidOrders(base).entries()) {
      const invalid = invalidOrders(base)[at]?.[1];
      if (!invalid) throw new Error("There is no such order.");
      const proper = putConfig(base, base + 2, `p${at}`);
      const pair = at % 2 === 0 ? [invalid, proper] : [proper, invalid];
      const calls = pair.map((command, place) =>
        fixture.submit(fixture.machineAt((at + place) % machines.length), command),
      );
      fixture.waitUntil(() => calls.every(({ code: answer }) => answer !== undefined), 1000);
      const [first, second] = calls.map(({ code: answer }) => answer);
      const [ofInvalid, ofProper] = at % 2 === 0 ? [first, second] : [second, first];
      expect([400, 412], what).toContain(ofInvalid);
      expect(ofProper, what).toBe(200);
      base += 2;
      expect(fixture.newestVersion(fixture.machineAt(0)), what).toBe(`r${base}`);
    }
  });

  test("a change that is valid by itself but invalid after the one before it in the queue is refused", () => {
    const fixture = startedFixture();
    expect(
      code(
        fixture,
        patch(3, "r4", { upsert: { objs: [{ ...service, meta: { name: "two" } }] } }),
        0,
      ),
    ).toBe(200);
    const goes = fixture.submit(
      fixture.machineAt(1),
      patch(4, "r5", { remove: { services: ["two"] } }),
    );
    const needs = fixture.submit(
      fixture.machineAt(2),
      patch(4, "r6", { upsert: { objs: [routeTo("needs", "two")] } }),
    );
    fixture.waitUntil(() => goes.code !== undefined && needs.code !== undefined, 1000);
    expect([goes.code, needs.code].sort()).toEqual([200, 412]);
    const version = goes.code === 200 ? 5 : 6;
    const refused =
      goes.code === 200
        ? patch(5, "r9", { upsert: { objs: [routeTo("needs", "two")] } })
        : patch(6, "r9", { remove: { services: ["two"] } });
    expect(code(fixture, refused, 3)).toBe(400);
    expect(fixture.newestVersion(fixture.machineAt(0))).toBe(`r${version}`);
  });

  test("during a change of leader it is never acknowledged, and an unknown result is no refusal", () => {
    const fixture = startedFixture();
    const former = fixture.leader;
    const followers = fixture.machines.filter((machine) => machine !== former);
    fixture.kill(former);
    for (const [at, [what, command]] of invalidOrders(3).entries()) {
      const through = followers[at % followers.length];
      if (!through) throw new Error("There is no follower.");
      const call = fixture.submit(through, command);
      fixture.wait(30);
      if (call.code === undefined) fixture.waitUntil(() => call.code !== undefined, 1000);
      expect([400, 412, 503, 504], what).toContain(call.code);
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
