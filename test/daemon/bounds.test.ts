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

test("a lease is shorter than both applyMs and drainMs, and allows several polls", () => {
  for (const [applyMs, drainMs] of [
    [2000, 2500],
    [2500, 2000],
    [600, 9000],
    [9000, 9000],
  ] as const) {
    const { leaseMs, watchIntervalMs, watchTimeoutMs, controlPlaneTimeouts } = deriveBounds({
      bounds: { applyMs, drainMs },
    });
    expect(leaseMs).toBeLessThan(Math.min(applyMs, drainMs));
    expect(controlPlaneTimeouts.leaseMs).toBe(leaseMs);
    expect(watchIntervalMs * 4).toBeLessThanOrEqual(leaseMs);
    expect(controlPlaneTimeouts.unresponsiveAfterMs).toBeGreaterThan(leaseMs);
    expect(controlPlaneTimeouts.maxWatchWaitMs).toBeLessThan(400);
    expect(watchTimeoutMs - controlPlaneTimeouts.maxWatchWaitMs).toBeGreaterThanOrEqual(130);
    expect(2 * watchTimeoutMs).toBeLessThan(leaseMs);
  }
});

test("the leader's lease expires before any voter may start an election, for any bounds", () => {
  for (const contactMs of [1000, 2000, 3000, 30_000]) {
    const { replicationTimeouts } = deriveBounds({ bounds: { contactMs } });
    expect(replicationTimeouts.leaderLeaseMs).toBeLessThan(replicationTimeouts.electionMinMs);
    expect(replicationTimeouts.heartbeatMs * 3).toBeLessThan(replicationTimeouts.leaderLeaseMs);
    expect(replicationTimeouts.electionMaxMs * 3).toBeLessThanOrEqual(contactMs);
  }
});

test("an unresponsive voter is replaced well within catchUpMs, for any bounds", () => {
  for (const catchUpMs of [1200, 1500, 2000, 4000, 6000, 60_000])
    for (const contactMs of [1000, 3000, 30_000]) {
      const { replicationTimeouts } = deriveBounds({ bounds: { catchUpMs, contactMs } });
      expect(replicationTimeouts.replaceAfterMs).toBeGreaterThanOrEqual(
        2 * replicationTimeouts.electionMaxMs,
      );
      // The lost voter was the leader. In the second case its successor is replaced as leader too, by a second election.
      const afterOneElectionMs =
        2 * replicationTimeouts.electionMaxMs + replicationTimeouts.replaceAfterMs;
      const afterTwoElectionsMs =
        afterOneElectionMs + replicationTimeouts.electionMaxMs + replicationTimeouts.replaceAfterMs;
      expect(afterOneElectionMs).toBeLessThanOrEqual(0.51 * catchUpMs);
      expect(afterTwoElectionsMs).toBeLessThanOrEqual(0.88 * catchUpMs);
      expect(replicationTimeouts.forgetAfterMs).toBeGreaterThan(
        10 * replicationTimeouts.replaceAfterMs,
      );
    }
  expect(boundFaults({ bounds: { catchUpMs: 1100 } }).map(({ path }) => path)).toEqual([
    "bounds.catchUpMs",
  ]);
});

test("the retry rules of sketch and guard are stricter than the configured one", () => {
  const { retryRules } = deriveBounds({
    bounds: { retryRatio: 0.1, retryExtra: 20, retryWindowMs: 5000 },
  });
  expect(retryRules.rule).toEqual({ earned: 0.1, pool: 20 });
  expect(retryRules.sketch.earned).toBeLessThan(retryRules.guard.earned);
  expect(retryRules.sketch.pool).toBeLessThan(retryRules.guard.pool);
  expect(retryRules.guard.earned).toBeLessThan(0.1);
  expect(retryRules.guard.pool).toBeLessThan(20);
  expect(
    deriveBounds({ bounds: { retryWindowMs: 5000 } }).requestCountsFormat.attempts.windowMs,
  ).toBe(10_000);
});

test("an idempotency key is retained beyond its window, and a drain ends within graceMs", () => {
  const { controlPlaneTimeouts, acceptRequestsMs, abandonMs } = deriveBounds({
    bounds: { keyWindowMs: 60_000, graceMs: 6000 },
  });
  expect(controlPlaneTimeouts.keyMs).toBe(70_000);
  expect([acceptRequestsMs, abandonMs]).toEqual([2600, 5600]);
  const short = deriveBounds({ bounds: { graceMs: 1000 } });
  expect(short.acceptRequestsMs).toBeLessThan(short.abandonMs);
  expect(short.abandonMs).toBeLessThan(1000);
});

test("a registration survives two missed heartbeats, for any heartbeat interval", () => {
  for (const heartbeatMs of [200, 1300, 5000]) {
    const { controlPlaneTimeouts } = deriveBounds({ heartbeatMs });
    expect(controlPlaneTimeouts.heartbeatMs).toBe(heartbeatMs);
    expect(controlPlaneTimeouts.expiryMs).toBeGreaterThan(3 * heartbeatMs);
  }
});

test("reports each bound that is below its minimum, with its path", () => {
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
  const invalid = checkSettings({ ...settings, heartbeatMs: 1 });
  expect("faults" in invalid && invalid.faults[0]?.path).toBe("heartbeatMs");
});
