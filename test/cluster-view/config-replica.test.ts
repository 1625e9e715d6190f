import { expect, test } from "vitest";
import { ConfigReplica } from "../../src/cluster-view/config-replica.js";
import type { LeasedView } from "../../src/control-protocol/leased-view.js";
import type { Config } from "../../src/configuration/config.js";

const route = (path: string): Config["routes"][string] => ({ match: { path }, service: "one" });

const view = (configSequence: number, fields: Partial<LeasedView>): LeasedView => ({
  granted: true,
  grantMs: 1000,
  grantNumber: "",
  configSequence,
  directorySequence: 0,
  ...fields,
});

/** A replica of a configuration with some routes and goals. */
const replicaOf = (names: readonly string[]): ConfigReplica => {
  const routes = Object.fromEntries(names.map((name) => [name, route(`/${name}/*`)]));
  const goals = Object.fromEntries(names.map((name) => [name, { latencyMs: 100 }]));
  const replica = new ConfigReplica();
  const config = JSON.stringify({ services: { one: {} }, routes, goals });
  expect(replica.apply(view(1, { config, numbers: {} }))).toBe("changed");
  return replica;
};

// Guards against routes that change their order, by which the first of several matching ones is used, and against lost items.
test("an update keeps the order of what stays, puts new items last, and names such as __proto__ are items", () => {
  const replica = replicaOf(["first", "second", "third"]);
  const put: unknown = JSON.parse(
    `{"services":{},"routes":{"second":${JSON.stringify(route("/other/*"))},"__proto__":${JSON.stringify(route("/p/*"))},"last":${JSON.stringify(route("/last/*"))}}}`,
  );
  const isConfig = (value: unknown): value is Config => typeof value === "object" && value !== null;
  if (!isConfig(put)) throw new Error("not a configuration");
  const configChanges = { base: 1, put, removed: ["routes first", "goals first"], numbers: {} };
  expect(replica.apply(view(2, { configChanges }))).toBe("changed");
  expect(Object.keys(replica.config.routes)).toEqual(["second", "third", "__proto__", "last"]);
  expect(replica.config.routes["second"]?.match.path).toBe("/other/*");
  expect(Object.keys(replica.config.goals ?? {})).toEqual(["second", "third"]);
});

// Guards against a copy of every section with each change, which costs each daemon time in proportion to all routes.
test("a section that an update doesn't change is not copied, and the former configuration stays as it was", () => {
  const replica = replicaOf(["first", "second"]);
  const before = replica.config;
  const put = { services: {}, routes: { third: route("/third/*") } };
  const configChanges = { base: 1, put, removed: ["routes first"], numbers: {} };
  expect(replica.apply(view(2, { configChanges }))).toBe("changed");
  expect(replica.config.services).toBe(before.services);
  expect(replica.config.goals).toBe(before.goals);
  expect(Object.keys(before.routes)).toEqual(["first", "second"]);
});
