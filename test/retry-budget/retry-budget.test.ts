import { expect, test } from "vitest";
import { RandomDraw } from "../../src/simulation/random-draw.js";
import { RetryQuotas } from "../../src/retry-budget/retry-quotas.js";
import { RetryBudget, defaultRetryRule } from "../../src/retry-budget/retry-budget.js";
import { RETRY_WINDOW_MS } from "../../src/retry-budget/request-counts.js";

test("the guard alone enforces the rule in every window, though edges start and crash, leaders change, clients stop and reports are late", () => {
  let taken = 0;
  for (let seed = 1; seed <= 40; seed += 1) {
    const random = RandomDraw.of(seed);
    const quotas = new RetryQuotas();
    const holders = new Set<string>();
    quotas.beginTerm(0, `l${seed}`, holders);
    let started = 0;
    const start = () => ({
      name: `e${(started += 1)}`,
      number: "",
      budget: new RetryBudget(),
      crashMs: random() * (seed % 4 === 0 ? 6000 : 120_000),
      leaseUntilMs: -Infinity,
    });
    const edges = Array.from({ length: 6 }, start);
    const requests: number[] = [];
    const retries: number[] = [];
    const late: Array<{ atMs: number; run: () => void }> = [];
    const stopsMs = seed % 3 === 0 ? 20_000 : Infinity;
    for (let nowMs = 0; nowMs < 50_000; nowMs += 20) {
      if (nowMs % (seed % 2 === 0 ? 7000 : 25_000) === 6980)
        quotas.beginTerm(nowMs, `l${seed}-${nowMs}`, new Set(holders));
      for (const one of late.splice(0).filter((item) => item.atMs > nowMs || (item.run(), false)))
        late.push(one);
      edges.forEach((edge, index) => {
        if (nowMs > edge.crashMs) edges[index] = start();
        if (nowMs % 200 === 0 && random() < 0.9) {
          const report = { number: edge.number, capacities: edge.budget.capacities };
          const requested = new Map([["s", edge.budget.requested("s", nowMs)]]);
          const allot = (): { number: string; capacities: Map<string, number> } => {
            holders.add(edge.name);
            return quotas.allocate(edge.name, report, requested, ["s"], nowMs);
          };
          if (random() < 0.1) late.push({ atMs: nowMs + random() * 3000, run: () => void allot() });
          else {
            const allotted = allot();
            if (random() < 0.9) {
              edge.number = allotted.number;
              edge.budget.setCapacities(allotted.capacities, nowMs);
              edge.leaseUntilMs = nowMs + 1600;
            }
          }
        }
        if (nowMs > edge.leaseUntilMs + 5000) edge.budget.setCapacities(new Map(), nowMs);
        const hasTraffic = nowMs < stopsMs && (seed % 5 !== 0 || index === 0);
        if (hasTraffic && random() < 0.4) {
          edge.budget.countRequest("s", nowMs);
          requests.push(nowMs);
        }
        if (
          nowMs < edge.leaseUntilMs &&
          random() < (nowMs < stopsMs ? 0.3 : 0.8) &&
          edge.budget.take("s", undefined, nowMs) === "granted"
        ) {
          if (random() < 0.1) edge.budget.refund("s", nowMs);
          else retries.push(nowMs);
        }
      });
    }
    for (let from = 0; from < 50_000; from += 100) {
      const inWindow = (times: number[]): number =>
        times.filter((atMs) => atMs >= from && atMs < from + RETRY_WINDOW_MS).length;
      expect(inWindow(retries)).toBeLessThanOrEqual(
        defaultRetryRule.earned * inWindow(requests) + defaultRetryRule.pool,
      );
    }
    taken += retries.length;
  }
  expect(taken).toBeGreaterThan(40 * 150);
});

test("the sketch decides before the guard, and used capacity returns once the window is over", () => {
  const budget = new RetryBudget();
  let short = 0;
  budget.onNearlyExhausted = () => (short += 1);
  budget.setCapacities(new Map([["s", 3]]), 0);
  expect(budget.take("s", { limit: 0.5, used: 0 }, 0)).toBe("sketch");
  for (const expected of ["granted", "granted", "granted", "guard"])
    expect(budget.take("s", { limit: 9, used: 1 }, 5000)).toBe(expected);
  expect(short).toBeGreaterThan(0);
  budget.refund("s", 5000);
  expect(budget.take("s", undefined, 5050)).toBe("granted");
  expect(budget.take("s", undefined, 15_000)).toBe("guard");
  expect(budget.take("s", undefined, 16_200)).toBe("granted");
  budget.setCapacities(new Map(), 16_250);
  expect(budget.capacities.get("s")).toBe(1);
});
