import { expect, test } from "vitest";
import { RandomDraw } from "../../src/simulation/random-draw.js";
import { RetryQuotas } from "../../src/retry-budget/retry-quotas.js";
import { RetryBudget } from "../../src/retry-budget/retry-budget.js";
import { createRetryRules } from "../../src/retry-budget/retry-rules.js";

test("with other settings than the defaults the guard enforces the rule in every window", () => {
  for (const [ratio, extra, windowMs] of [
    [0.1, 20, 4000],
    [0, 30, 10_000],
    [0.5, 8, 2000],
    [0.3, 100, 20_000],
  ] as const) {
    const rules = createRetryRules(ratio, extra, windowMs);
    const random = RandomDraw.of(extra + 1);
    const quotas = new RetryQuotas(rules, 800);
    quotas.beginTerm(0, "l", new Set());
    const edges = [1, 2, 3].map((index) => ({
      name: `e${index}`,
      number: "",
      budget: new RetryBudget(rules),
    }));
    const requests: number[] = [];
    const retries: number[] = [];
    for (let nowMs = 0; nowMs < 60_000; nowMs += 20) {
      for (const edge of edges) {
        if (nowMs % 200 === 0) {
          const allotted = quotas.allocate(
            edge.name,
            { number: edge.number, capacities: edge.budget.capacities },
            new Map([["s", edge.budget.requested("s", nowMs)]]),
            ["s"],
            nowMs,
          );
          edge.number = allotted.number;
          edge.budget.setCapacities(allotted.capacities, nowMs);
        }
        if (random() < 0.4) {
          edge.budget.countRequest("s", nowMs);
          requests.push(nowMs);
        }
        if (random() < 0.6 && edge.budget.take("s", undefined, nowMs) === "granted")
          retries.push(nowMs);
      }
    }
    for (let from = 0; from < 60_000; from += 100) {
      const inWindow = (times: number[]): number =>
        times.filter((atMs) => atMs >= from && atMs < from + windowMs).length;
      expect(inWindow(retries)).toBeLessThanOrEqual(ratio * inWindow(requests) + extra);
    }
    expect(retries.length).toBeGreaterThan(extra);
  }
});
