import { expect, test } from "vitest";
import type { Registration } from "../../src/state/registration.js";
import { RandomDraw } from "../../src/simulation/random-draw.js";
import { LoadBalancer } from "../../src/load-balancing/load-balancer.js";

test("an instance warms up for its announced time after it becomes known, or not at all; a backend without an instance takes ten seconds", () => {
  const loadBalancer = new LoadBalancer("a", RandomDraw.of(1));
  const backend = (address: string, overrides: Partial<Registration>): Registration => ({
    address,
    service: "s",
    zone: "a",
    warmth: 0,
    number: 1,
    leaving: false,
    leftAt: 0,
    drained: false,
    instance: "",
    capacity: 0,
    warmMs: 0,
    order: 0,
    ...overrides,
  });
  const backends = [
    backend("own", {}),
    backend("warm", { instance: "w" }),
    backend("cold", { instance: "c", warmMs: 4000 }),
  ];
  const weightsAt = (nowMs: number): number[] =>
    loadBalancer.explain(backends, nowMs).map(({ share }) => share);
  loadBalancer.setBackends(backends, 1000);
  expect(weightsAt(1000)).toEqual([0.05, 1, 0.05]);
  expect(weightsAt(3000)).toEqual([0.2, 1, 0.5]);
  expect(weightsAt(5000)).toEqual([0.4, 1, 1]);
  loadBalancer.setBackends([], 5000);
  loadBalancer.setBackends(backends, 9000);
  expect(weightsAt(9000)).toEqual([0.05, 1, 0.05]);
});
