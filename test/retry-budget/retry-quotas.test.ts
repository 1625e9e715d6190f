import { expect, test } from "vitest";
import { RetryQuotas } from "../../src/retry-budget/retry-quotas.js";
import { defaultStrictRule } from "../../src/retry-budget/retry-budget.js";

const services = ["s"];
const none = new Map<string, number>();

test("the only edge with requested retries gets most of the pool at once; what an edge gives up is moved once it has reported that", () => {
  const quotas = new RetryQuotas();
  quotas.lead(0, "a", new Set());
  const request = (edge: string, number: string, inUse: number, requested: number, nowMs: number) =>
    quotas.grant(
      edge,
      { number, capacities: new Map([["s", inUse]]) },
      new Map([["s", requested]]),
      services,
      nowMs,
    );
  const one = request("one", "", 0, 30, 0);
  expect(one.capacities.get("s")).toBeGreaterThan(defaultStrictRule.pool * 0.95);
  const two = request("two", "", 0, 90, 10);
  expect(two.capacities.get("s")).toBeLessThan(4);
  const lowered = request("one", one.number, one.capacities.get("s") ?? 0, 0, 20);
  expect(lowered.capacities.get("s")).toBeLessThan(20);
  expect(request("two", two.number, 0, 90, 30).capacities.get("s")).toBeLessThan(4);
  request("one", lowered.number, lowered.capacities.get("s") ?? 0, 0, 40);
  expect(request("two", two.number, 0, 90, 50).capacities.get("s")).toBeGreaterThan(40);
});

test("a new leader raises quotas once all edges have reported, and waits for one that hasn't", () => {
  const quotas = new RetryQuotas();
  quotas.lead(1000, "b", new Set(["one", "two"]));
  const report = { number: "a/7", capacities: new Map([["s", 20]]) };
  expect(quotas.grant("one", report, none, services, 1100).capacities.get("s")).toBeLessThanOrEqual(
    20,
  );
  expect(
    quotas.grant("new", { number: "", capacities: none }, none, services, 1200).capacities.get("s"),
  ).toBe(0);
  expect(quotas.isSettled(1300)).toBe(false);
  quotas.grant("two", report, none, services, 1300);
  expect(quotas.isSettled(1300)).toBe(true);
  expect(
    quotas.grant("new", { number: "", capacities: none }, none, services, 1400).capacities.get("s"),
  ).toBeGreaterThan(5);
  quotas.lead(2000, "c", new Set(["crashed"]));
  expect(
    quotas
      .grant("new", { number: "b/9", capacities: new Map([["s", 50]]) }, none, services, 2100)
      .capacities.get("s"),
  ).toBe(0);
  expect(quotas.past(13_000, ["crashed"])).toEqual([]);
  expect(
    quotas
      .grant("new", { number: "", capacities: none }, none, services, 14_100)
      .capacities.get("s"),
  ).toBeGreaterThan(5);
  expect(quotas.past(14_100, ["crashed", "new"])).toEqual(["crashed"]);
});

test("a late report of an older allotment frees nothing", () => {
  const quotas = new RetryQuotas();
  quotas.lead(0, "a", new Set());
  const first = quotas.grant("one", { number: "", capacities: none }, none, services, 0);
  const raised = quotas.grant(
    "one",
    { number: first.number, capacities: first.capacities },
    new Map([["s", 9]]),
    services,
    100,
  );
  expect(raised.capacities.get("s")).toBeGreaterThan(60);
  quotas.grant(
    "one",
    { number: first.number, capacities: none },
    new Map([["s", 9]]),
    services,
    200,
  );
  expect(
    quotas
      .grant("two", { number: "", capacities: none }, new Map([["s", 90]]), services, 300)
      .capacities.get("s"),
  ).toBeLessThan(1);
});
