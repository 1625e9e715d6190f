import { expect, test } from "vitest";
import { RetryQuotas } from "../../src/retry-budget/retry-quotas.js";
import { defaultStrictRule } from "../../src/retry-budget/retry-budget.js";

const services = ["s"];
const none = new Map<string, number>();

test("an edge that alone wishes gets most of the pool at once; what others give up is moved as soon as they say so", () => {
  const allowance = new RetryQuotas();
  allowance.lead(0, "a", new Set());
  const ask = (edge: string, number: string, held: number, wished: number, nowMs: number) =>
    allowance.grant(
      edge,
      { number, capacities: new Map([["s", held]]) },
      new Map([["s", wished]]),
      services,
      nowMs,
    );
  const one = ask("one", "", 0, 30, 0);
  expect(one.capacities.get("s")).toBeGreaterThan(defaultStrictRule.pool * 0.95);
  const two = ask("two", "", 0, 90, 10);
  expect(two.capacities.get("s")).toBeLessThan(4);
  const asked = ask("one", one.number, one.capacities.get("s") ?? 0, 0, 20);
  expect(asked.capacities.get("s")).toBeLessThan(20);
  expect(ask("two", two.number, 0, 90, 30).capacities.get("s")).toBeLessThan(4);
  ask("one", asked.number, asked.capacities.get("s") ?? 0, 0, 40);
  expect(ask("two", two.number, 0, 90, 50).capacities.get("s")).toBeGreaterThan(40);
});

test("a new leader goes on as soon as all holders have shown themselves, and waits for one that hasn't", () => {
  const allowance = new RetryQuotas();
  allowance.lead(1000, "b", new Set(["one", "two"]));
  const report = { number: "a/7", capacities: new Map([["s", 20]]) };
  expect(
    allowance.grant("one", report, none, services, 1100).capacities.get("s"),
  ).toBeLessThanOrEqual(20);
  expect(
    allowance
      .grant("new", { number: "", capacities: none }, none, services, 1200)
      .capacities.get("s"),
  ).toBe(0);
  expect(allowance.isSettled(1300)).toBe(false);
  allowance.grant("two", report, none, services, 1300);
  expect(allowance.isSettled(1300)).toBe(true);
  expect(
    allowance
      .grant("new", { number: "", capacities: none }, none, services, 1400)
      .capacities.get("s"),
  ).toBeGreaterThan(5);
  allowance.lead(2000, "c", new Set(["gone"]));
  expect(
    allowance
      .grant("new", { number: "b/9", capacities: new Map([["s", 50]]) }, none, services, 2100)
      .capacities.get("s"),
  ).toBe(0);
  expect(allowance.past(13_000, ["gone"])).toEqual([]);
  expect(
    allowance
      .grant("new", { number: "", capacities: none }, none, services, 14_100)
      .capacities.get("s"),
  ).toBeGreaterThan(5);
  expect(allowance.past(14_100, ["gone", "new"])).toEqual(["gone"]);
});

test("a late report of an older grant frees nothing", () => {
  const allowance = new RetryQuotas();
  allowance.lead(0, "a", new Set());
  const first = allowance.grant("one", { number: "", capacities: none }, none, services, 0);
  const raised = allowance.grant(
    "one",
    { number: first.number, capacities: first.capacities },
    new Map([["s", 9]]),
    services,
    100,
  );
  expect(raised.capacities.get("s")).toBeGreaterThan(60);
  allowance.grant(
    "one",
    { number: first.number, capacities: none },
    new Map([["s", 9]]),
    services,
    200,
  );
  expect(
    allowance
      .grant("two", { number: "", capacities: none }, new Map([["s", 90]]), services, 300)
      .capacities.get("s"),
  ).toBeLessThan(1);
});
