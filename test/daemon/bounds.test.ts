import { expect, test } from "vitest";
import { defaultControlPlaneTimeouts } from "../../src/control-plane/control-plane-timeouts.js";
import { deriveBounds, boundFaults } from "../../src/daemon/bounds.js";
import { checkSettings } from "../../src/daemon/settings.js";
import { defaultReplicationTimeouts } from "../../src/replication/replication-timeouts.js";
import {
  defaultGuardRule,
  defaultRetryRule,
  defaultSketchRule,
} from "../../src/retry-budget/retry-budget.js";
import { defaultRequestCountsFormat } from "../../src/retry-budget/request-counts.js";

test("derives the default timeouts from settings without bounds", () => {
  const bounds = deriveBounds({});
  expect(bounds.controlPlaneTimeouts).toEqual(defaultControlPlaneTimeouts);
  expect(bounds.replicationTimeouts).toEqual(defaultReplicationTimeouts);
  expect(bounds.requestCountsFormat).toEqual(defaultRequestCountsFormat);
  expect([bounds.leaseMs, bounds.watchIntervalMs, bounds.changeTimeoutMs]).toEqual([
    1600, 400, 4000,
  ]);
  expect([bounds.retryRules.rule, bounds.retryRules.sketch, bounds.retryRules.guard]).toEqual([
    defaultRetryRule,
    defaultSketchRule,
    defaultGuardRule,
  ]);
});

test("a lease is shorter than both applyMs and drainMs, with room for polls within it", () => {
  for (const [applyMs, drainMs] of [
    [2000, 2500],
    [2500, 2000],
    [600, 9000],
    [9000, 9000],
  ] as const) {
    const {
      leaseMs,
      watchIntervalMs: pollMs,
      watchTimeoutMs: pollWaitMs,
      controlPlaneTimeouts,
    } = deriveBounds({
      bounds: { applyMs, drainMs },
    });
    expect(leaseMs).toBeLessThan(Math.min(applyMs, drainMs));
    expect(controlPlaneTimeouts.leaseMs).toBe(leaseMs);
    expect(pollMs * 4).toBeLessThanOrEqual(leaseMs);
    expect(controlPlaneTimeouts.unresponsiveAfterMs).toBeGreaterThan(leaseMs);
    expect(controlPlaneTimeouts.maxWatchWaitMs).toBeLessThan(400);
    expect(pollWaitMs - controlPlaneTimeouts.maxWatchWaitMs).toBeGreaterThanOrEqual(130);
    expect(2 * pollWaitMs).toBeLessThan(leaseMs);
  }
});

test("the leader's lease expires before any voter may start an election, whatever the bounds", () => {
  for (const contactMs of [1000, 2000, 3000, 30_000]) {
    const { replicationTimeouts } = deriveBounds({ bounds: { contactMs } });
    expect(replicationTimeouts.leaderLeaseMs).toBeLessThan(replicationTimeouts.electionMinMs);
    expect(replicationTimeouts.heartbeatMs * 3).toBeLessThan(replicationTimeouts.leaderLeaseMs);
    expect(replicationTimeouts.electionMaxMs * 3).toBeLessThanOrEqual(contactMs);
  }
});

test("a lost voter is replaced well within catchUpMs, whatever the bounds", () => {
  for (const catchUpMs of [1200, 1500, 2000, 4000, 6000, 60_000])
    for (const contactMs of [1000, 3000, 30_000]) {
      const { replicationTimeouts } = deriveBounds({ bounds: { catchUpMs, contactMs } });
      expect(replicationTimeouts.replaceAfterMs).toBeGreaterThanOrEqual(
        2 * replicationTimeouts.electionMaxMs,
      );
      // The lost one led, two elections are needed, and its first follower in the lead is followed by another.
      const oneLeader = 2 * replicationTimeouts.electionMaxMs + replicationTimeouts.replaceAfterMs;
      const twoLeaders =
        oneLeader + replicationTimeouts.electionMaxMs + replicationTimeouts.replaceAfterMs;
      expect(oneLeader).toBeLessThanOrEqual(0.51 * catchUpMs);
      expect(twoLeaders).toBeLessThanOrEqual(0.88 * catchUpMs);
      expect(replicationTimeouts.forgetAfterMs).toBeGreaterThan(
        10 * replicationTimeouts.replaceAfterMs,
      );
    }
  expect(boundFaults({ bounds: { catchUpMs: 1100 } }).map(({ path }) => path)).toEqual([
    "bounds.catchUpMs",
  ]);
});

test("the retry rules of sketch and guard are stricter than the configured one", () => {
  const { retryRules: budget } = deriveBounds({
    bounds: { retryRatio: 0.1, retryExtra: 20, retryWindowMs: 5000 },
  });
  expect(budget.rule).toEqual({ earned: 0.1, pool: 20 });
  expect(budget.sketch.earned).toBeLessThan(budget.guard.earned);
  expect(budget.sketch.pool).toBeLessThan(budget.guard.pool);
  expect(budget.guard.earned).toBeLessThan(0.1);
  expect(budget.guard.pool).toBeLessThan(20);
  expect(
    deriveBounds({ bounds: { retryWindowMs: 5000 } }).requestCountsFormat.attempts.windowMs,
  ).toBe(10_000);
});

test("an idempotency key is retained beyond its window, and a drain ends within graceMs", () => {
  const {
    controlPlaneTimeouts,
    acceptRequestsMs: serveOnMs,
    abandonMs,
  } = deriveBounds({
    bounds: { keyWindowMs: 60_000, graceMs: 6000 },
  });
  expect(controlPlaneTimeouts.keyMs).toBe(70_000);
  expect([serveOnMs, abandonMs]).toEqual([2600, 5600]);
  const short = deriveBounds({ bounds: { graceMs: 1000 } });
  expect(short.acceptRequestsMs).toBeLessThan(short.abandonMs);
  expect(short.abandonMs).toBeLessThan(1000);
});

test("a registration survives two missed heartbeats, whatever their interval", () => {
  for (const heartbeatMs of [200, 1300, 5000]) {
    const { controlPlaneTimeouts } = deriveBounds({ heartbeatMs });
    expect(controlPlaneTimeouts.heartbeatMs).toBe(heartbeatMs);
    expect(controlPlaneTimeouts.expiryMs).toBeGreaterThan(3 * heartbeatMs);
  }
});

test("refuses a bound that can't be met, with its path", () => {
  const settings = {
    machine: "m",
    zone: "a",
    callers: "127.0.0.1:1",
    operators: "127.0.0.1:2",
    peers: "127.0.0.1:3",
    seeds: ["127.0.0.1:3"],
  };
  const paths = (bounds: Record<string, number>): string[] => {
    const checked = checkSettings({ ...settings, bounds });
    return "faults" in checked ? checked.faults.map(({ path }) => path) : [];
  };
  expect(paths({ applyMs: 2000, retryRatio: 0 })).toEqual([]);
  expect(paths({ applyMs: 500 })).toEqual(["bounds.applyMs"]);
  expect(paths({ drainMs: 100, graceMs: 900, retryRatio: -0.1, retryExtra: -1 })).toEqual([
    "bounds.drainMs",
    "bounds.graceMs",
    "bounds.retryRatio",
    "bounds.retryExtra",
  ]);
  expect(paths({ colour: 1 })).toEqual(["bounds.colour"]);
  const bad = checkSettings({ ...settings, heartbeatMs: 1 });
  expect("faults" in bad && bad.faults[0]?.path).toBe("heartbeatMs");
});
