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

test("a backend without progress on requests in flight gets no more of them until one ends", () => {
  const loadBalancer = new LoadBalancer("a", RandomDraw.of(3));
  const [unresponsive, healthy] = [createBackend("unresponsive", 1), createBackend("healthy", 2)];
  const ended: AttemptSample = {
    latencyMs: 50,
    isComplete: true,
    latencyTargetMs: 100,
    route: "r",
  };
  for (const one of [unresponsive, healthy]) {
    loadBalancer.attemptStarted(one, 0, "r");
    loadBalancer.attemptEnded(one, ended, 50);
  }
  loadBalancer.attemptStarted(unresponsive, 100, "r");
  const picked = (nowMs: number): Set<string> =>
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
  expect(picked(150)).toEqual(new Set(["unresponsive", "healthy"]));
  expect(picked(600)).toEqual(new Set(["healthy"]));
  loadBalancer.attemptEnded(unresponsive, { ...ended, latencyMs: 520 }, 620);
  expect(picked(640).has("unresponsive")).toBe(true);
});

test("a remote backend is chosen rarely where responses are large, and readily where they are small", () => {
  const loadBalancer = new LoadBalancer("a", RandomDraw.of(5));
  const [local, remote] = [createBackend("local", 1), createBackend("remote", 2, "b")];
  for (let round = 0; round < 40; round += 1)
    for (const one of [local, remote])
      for (const [route, bytes] of [
        ["large", 200_000],
        ["small", 400],
      ] as const) {
        loadBalancer.attemptStarted(one, round * 100, route);
        loadBalancer.attemptEnded(
          one,
          {
            latencyMs: one === local ? 70 : 50,
            isComplete: true,
            latencyTargetMs: 500,
            route,
            responseBytes: bytes,
          },
          round * 100 + 50,
        );
      }
  const remotePart = (route: string): number =>
    Array.from({ length: 400 }, () =>
      loadBalancer.pick(
        [local, remote],
        { triedAddresses: new Set(), maxInFlight: 100, route },
        5000,
      ),
    ).filter((one) => one === remote).length / 400;
  expect(remotePart("large")).toBeLessThan(0.1);
  expect(remotePart("small")).toBeGreaterThan(0.9);
});
