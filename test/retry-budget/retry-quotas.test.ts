import { expect, test } from "vitest";
import { RetryQuotas } from "../../src/retry-budget/retry-quotas.js";
import { defaultGuardRule } from "../../src/retry-budget/retry-budget.js";

const services = ["s"];
const noCapacities = new Map<string, number>();

test("the only edge that requests retries gets most of the pool at once; capacity that it releases is moved only after its report", () => {
  const quotas = new RetryQuotas();
  quotas.beginTerm(0, "a", new Set());
  const request = (edge: string, number: string, inUse: number, requested: number, nowMs: number) =>
    quotas.allocate(
      edge,
      { number, capacities: new Map([["s", inUse]]) },
      new Map([["s", requested]]),
      services,
      nowMs,
    );
  const one = request("one", "", 0, 30, 0);
  expect(one.capacities.get("s")).toBeGreaterThan(defaultGuardRule.pool * 0.95);
  const two = request("two", "", 0, 90, 10);
  expect(two.capacities.get("s")).toBeLessThan(4);
  const lowered = request("one", one.number, one.capacities.get("s") ?? 0, 0, 20);
  expect(lowered.capacities.get("s")).toBeLessThan(20);
  expect(request("two", two.number, 0, 90, 30).capacities.get("s")).toBeLessThan(4);
  request("one", lowered.number, lowered.capacities.get("s") ?? 0, 0, 40);
  expect(request("two", two.number, 0, 90, 50).capacities.get("s")).toBeGreaterThan(40);
});

/**
 * A new leader doesn't know the allotments of the previous one. If it distributed the full pool at once, edges could use both
 * allotments within one window.
 */
test("a new leader raises quotas only once all known edges have reported or their capacities have expired", () => {
  const quotas = new RetryQuotas();
  quotas.beginTerm(1000, "b", new Set(["one", "two"]));
  const report = { number: "a/7", capacities: new Map([["s", 20]]) };
  expect(
    quotas.allocate("one", report, noCapacities, services, 1100).capacities.get("s"),
  ).toBeLessThanOrEqual(20);
  expect(
    quotas
      .allocate("new", { number: "", capacities: noCapacities }, noCapacities, services, 1200)
      .capacities.get("s"),
  ).toBe(0);
  expect(quotas.isSettled(1300)).toBe(false);
  quotas.allocate("two", report, noCapacities, services, 1300);
  expect(quotas.isSettled(1300)).toBe(true);
  expect(
    quotas
      .allocate("new", { number: "", capacities: noCapacities }, noCapacities, services, 1400)
      .capacities.get("s"),
  ).toBeGreaterThan(5);
  quotas.beginTerm(2000, "c", new Set(["crashed"]));
  expect(
    quotas
      .allocate(
        "new",
        { number: "b/9", capacities: new Map([["s", 50]]) },
        noCapacities,
        services,
        2100,
      )
      .capacities.get("s"),
  ).toBe(0);
  expect(quotas.expiredEdges(13_000, ["crashed"])).toEqual([]);
  expect(
    quotas
      .allocate("new", { number: "", capacities: noCapacities }, noCapacities, services, 14_100)
      .capacities.get("s"),
  ).toBeGreaterThan(5);
  expect(quotas.expiredEdges(14_100, ["crashed", "new"])).toEqual(["crashed"]);
});

/**
 * The network may delay a report until after the edge has adopted a newer, larger allotment. Releasing capacity by the old report
 * would allot it twice.
 */
test("a delayed report of an older allotment releases no capacity", () => {
  const quotas = new RetryQuotas();
  quotas.beginTerm(0, "a", new Set());
  const first = quotas.allocate(
    "one",
    { number: "", capacities: noCapacities },
    noCapacities,
    services,
    0,
  );
  const raised = quotas.allocate(
    "one",
    { number: first.number, capacities: first.capacities },
    new Map([["s", 9]]),
    services,
    100,
  );
  expect(raised.capacities.get("s")).toBeGreaterThan(60);
  quotas.allocate(
    "one",
    { number: first.number, capacities: noCapacities },
    new Map([["s", 9]]),
    services,
    200,
  );
  expect(
    quotas
      .allocate(
        "two",
        { number: "", capacities: noCapacities },
        new Map([["s", 90]]),
        services,
        300,
      )
      .capacities.get("s"),
  ).toBeLessThan(1);
});
