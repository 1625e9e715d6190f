import { describe, expect, test } from "vitest";
import { ExpiredLeasePolicy } from "../../src/proxy/expired-lease-policy.js";
import { VirtualClock } from "../../src/simulation/virtual-clock.js";

const bounds = { staleMs: 5000, contactMs: 3000 };

const createPolicy = (members: readonly string[]) => {
  const time = new VirtualClock();
  const failedMs = new Map<string, number>();
  const policy = new ExpiredLeasePolicy(
    time.clock(),
    {
      replicas: members,
      isUnreachable: (member, sinceMs) => (failedMs.get(member) ?? -Infinity) >= sinceMs,
    },
    bounds,
  );
  const fail = (...failing: readonly string[]): void => {
    for (const member of failing) failedMs.set(member, time.nowMs());
  };
  return { time, lease: policy, fail };
};

describe("evidence of an unavailable quorum", () => {
  test("late responses alone, or one unreachable replica of three, don't allow requests by an expired lease", () => {
    const { lease, fail } = createPolicy(["a", "b", "c"]);
    expect(lease.allows(1)).toBe(false);
    fail("c");
    expect(lease.allows(1)).toBe(false);
  });

  test("half of the replicas unreachable, or all as seen from a partitioned machine, allow them, for staleMs at most", () => {
    const three = createPolicy(["a", "b", "c"]);
    three.fail("a", "b");
    expect(three.lease.allows(1)).toBe(true);
    expect(three.lease.allows(bounds.staleMs)).toBe(false);
    const four = createPolicy(["a", "b", "c", "d"]);
    four.fail("a", "b");
    expect(four.lease.allows(4999)).toBe(true);
  });

  test("a failure is evidence for contactMs only, and without known replicas there is none", () => {
    const { time, lease, fail } = createPolicy(["a", "b", "c"]);
    fail("a", "b", "c");
    time.runUntil(2900);
    expect(lease.allows(1)).toBe(true);
    time.runUntil(3100);
    expect(lease.allows(1)).toBe(false);
    const none = createPolicy([]);
    none.fail("a");
    expect(none.lease.allows(1)).toBe(false);
  });
});
