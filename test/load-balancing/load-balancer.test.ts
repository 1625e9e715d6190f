import { expect, test } from "vitest";
import type { Registration } from "../../src/state/state-machine.js";
import { RandomDraw } from "../../src/simulation/random-draw.js";
import { LoadBalancer } from "../../src/load-balancing/load-balancer.js";

test("a slow backend, a failing one and a far one take less, and the reason is told", () => {
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
  const backends = [backend("well"), backend("slow"), backend("failing"), backend("far", "b")];
  const taken = new Map<string, number>();
  for (let nowMs = 0; nowMs < 20_000; nowMs += 10) {
    const one = loadBalancer.pick(backends, { tried: new Set(), inHandLimit: 100 }, nowMs);
    if (!one) throw new Error("nothing was picked");
    taken.set(one.address, (taken.get(one.address) ?? 0) + 1);
    loadBalancer.began(one, nowMs);
    loadBalancer.ended(
      one,
      {
        tookMs: one.address === "slow" ? 400 : 20,
        isWhole: one.address !== "failing",
        goalMs: 100,
      },
      nowMs,
    );
  }
  const well = taken.get("well") ?? 0;
  for (const other of ["slow", "failing", "far"])
    expect(well).toBeGreaterThan(2 * (taken.get(other) ?? 0));
  const whys = loadBalancer.explain(backends, 20_000).map(({ why }) => why);
  expect(whys[1]).toContain("slower");
  expect(whys[3]).toContain("another zone");
});
