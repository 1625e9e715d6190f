import { expect, test } from "vitest";
import type { Registration } from "../../src/state/registration.js";
import type { AttemptSample } from "../../src/load-balancing/attempt-sample.js";
import { RandomDraw } from "../../src/simulation/random-draw.js";
import { LoadBalancer } from "../../src/load-balancing/load-balancer.js";

const createBackend = (address: string, number: number, zone = "a"): Registration => ({
  address,
  service: "s",
  zone,
  warmth: 1,
  number,
  leaving: false,
  leftAt: 0,
  drained: false,
  instance: address,
  capacity: 2,
  warmMs: 0,
  order: 0,
});

test("a backend without progress on its requests in flight gets no further requests until one ends", () => {
  const loadBalancer = new LoadBalancer("a", RandomDraw.of(3));
  const [unresponsive, healthy] = [createBackend("unresponsive", 1), createBackend("healthy", 2)];
  const ended: AttemptSample = {
    latencyMs: 50,
    isComplete: true,
    latencyTargetMs: 100,
    route: "r",
  };
  for (const backend of [unresponsive, healthy]) {
    loadBalancer.attemptStarted(backend, 0, "r");
    loadBalancer.attemptEnded(backend, ended, 50);
  }
  loadBalancer.attemptStarted(unresponsive, 100, "r");
  const pickedAddresses = (nowMs: number): Set<string> =>
    new Set(
      Array.from(
        { length: 200 },
        () =>
          loadBalancer.pick(
            [unresponsive, healthy],
            { triedAddresses: new Set(), maxInFlight: 100, route: "r" },
            nowMs,
          )?.address ?? "",
      ),
    );
  expect(pickedAddresses(150)).toEqual(new Set(["unresponsive", "healthy"]));
  expect(pickedAddresses(600)).toEqual(new Set(["healthy"]));
  loadBalancer.attemptEnded(unresponsive, { ...ended, latencyMs: 520 }, 620);
  expect(pickedAddresses(640).has("unresponsive")).toBe(true);
});

test("a faster remote backend is chosen rarely for large responses, and mostly for small ones", () => {
  const loadBalancer = new LoadBalancer("a", RandomDraw.of(5));
  const [local, remote] = [createBackend("local", 1), createBackend("remote", 2, "b")];
  for (let round = 0; round < 40; round += 1)
    for (const backend of [local, remote])
      for (const [route, responseBytes] of [
        ["large", 200_000],
        ["small", 400],
      ] as const) {
        loadBalancer.attemptStarted(backend, round * 100, route);
        loadBalancer.attemptEnded(
          backend,
          {
            latencyMs: backend === local ? 70 : 50,
            isComplete: true,
            latencyTargetMs: 500,
            route,
            responseBytes,
          },
          round * 100 + 50,
        );
      }
  const remoteFraction = (route: string): number =>
    Array.from({ length: 400 }, () =>
      loadBalancer.pick(
        [local, remote],
        { triedAddresses: new Set(), maxInFlight: 100, route },
        5000,
      ),
    ).filter((backend) => backend === remote).length / 400;
  expect(remoteFraction("large")).toBeLessThan(0.1);
  expect(remoteFraction("small")).toBeGreaterThan(0.9);
});
