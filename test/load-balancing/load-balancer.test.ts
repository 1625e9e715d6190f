import { expect, test } from "vitest";
import type { Registration } from "../../src/state/registration.js";
import { RandomDraw } from "../../src/simulation/random-draw.js";
import { LoadBalancer } from "../../src/load-balancing/load-balancer.js";

test("a slow backend, a failing one and a remote one get fewer requests, and the reason is reported", () => {
  const loadBalancer = new LoadBalancer("a", RandomDraw.of(4));
  const backend = (address: string, zone = "a"): Registration => ({
    address,
    service: "s",
    zone,
    warmth: 1,
    number: 1,
    leaving: false,
    leftAt: 0,
    drained: false,
    instance: "",
    capacity: 0,
    warmMs: 0,
    order: 0,
  });
  const backends = [
    backend("healthy"),
    backend("slow"),
    backend("failing"),
    backend("remote", "b"),
  ];
  const taken = new Map<string, number>();
  for (let nowMs = 0; nowMs < 20_000; nowMs += 10) {
    const picked = loadBalancer.pick(
      backends,
      { triedAddresses: new Set(), maxInFlight: 100 },
      nowMs,
    );
    if (!picked) throw new Error("nothing was picked");
    taken.set(picked.address, (taken.get(picked.address) ?? 0) + 1);
    loadBalancer.attemptStarted(picked, nowMs);
    loadBalancer.attemptEnded(
      picked,
      {
        latencyMs: picked.address === "slow" ? 400 : 20,
        isComplete: picked.address !== "failing",
        latencyTargetMs: 100,
      },
      nowMs,
    );
  }
  const healthy = taken.get("healthy") ?? 0;
  for (const other of ["slow", "failing", "remote"])
    expect(healthy).toBeGreaterThan(2 * (taken.get(other) ?? 0));
  const reasons = loadBalancer.explain(backends, 20_000).map(({ why }) => why);
  expect(reasons[1]).toContain("slower");
  expect(reasons[3]).toContain("another zone");
});
