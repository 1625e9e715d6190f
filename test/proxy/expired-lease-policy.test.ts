import { describe, expect, test } from "vitest";
import { ExpiredLeasePolicy } from "../../src/proxy/expired-lease-policy.js";
import { VirtualClock } from "../../src/simulation/virtual-clock.js";

const bounds = { staleMs: 5000, contactMs: 3000 };

const createPolicy = (replicas: readonly string[]) => {
  const time = new VirtualClock();
  const failureTimesMs = new Map<string, number>();
  const policy = new ExpiredLeasePolicy(
    time.clock(),
    {
      replicas,
      isUnreachable: (member, sinceMs) => (failureTimesMs.get(member) ?? -Infinity) >= sinceMs,
    },
    bounds,
  );
  const fail = (...failing: readonly string[]): void => {
    for (const member of failing) failureTimesMs.set(member, time.nowMs());
  };
  return { time, policy, fail };
};

describe("evidence of an unavailable quorum", () => {
  test("neither late responses alone nor one unreachable replica of three allow requests with an expired lease", () => {
    const { policy, fail } = createPolicy(["a", "b", "c"]);
    expect(policy.allows(1)).toBe(false);
    fail("c");
    expect(policy.allows(1)).toBe(false);
  });

  test("at least half of the replicas unreachable allows requests with an expired lease, for less than staleMs", () => {
    const three = createPolicy(["a", "b", "c"]);
    three.fail("a", "b");
    expect(three.policy.allows(1)).toBe(true);
    expect(three.policy.allows(bounds.staleMs)).toBe(false);
    const four = createPolicy(["a", "b", "c", "d"]);
    four.fail("a", "b");
    expect(four.policy.allows(4999)).toBe(true);
  });

  test("a failure is evidence for contactMs only, and without known replicas there is no evidence", () => {
    const { time, policy, fail } = createPolicy(["a", "b", "c"]);
    fail("a", "b", "c");
    time.runUntil(2900);
    expect(policy.allows(1)).toBe(true);
    time.runUntil(3100);
    expect(policy.allows(1)).toBe(false);
    const none = createPolicy([]);
    none.fail("a");
    expect(none.policy.allows(1)).toBe(false);
  });
});
