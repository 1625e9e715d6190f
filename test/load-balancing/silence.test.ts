import { expect, test } from "vitest";
import type { Registration } from "../../src/state/state-machine.js";
import { RandomDraw } from "../../src/simulation/random-draw.js";
import { LoadBalancer } from "../../src/load-balancing/load-balancer.js";

const backend = (address: string, number: number, zone = "a"): Registration => ({
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

test("a backend that is silent with work in hand gets no more, until something ends there", () => {
  const loadBalancer = new LoadBalancer("a", RandomDraw.of(3));
  const [dark, well] = [backend("dark", 1), backend("well", 2)];
  const ended = { tookMs: 50, isWhole: true, goalMs: 100, route: "r" };
  for (const one of [dark, well]) {
    loadBalancer.began(one, 0, "r");
    loadBalancer.ended(one, ended, 50);
  }
  loadBalancer.began(dark, 100, "r");
  const picked = (nowMs: number): Set<string> =>
    new Set(
      Array.from(
        { length: 200 },
        () =>
          loadBalancer.pick([dark, well], { tried: new Set(), inHandLimit: 100, route: "r" }, nowMs)
            ?.address ?? "",
      ),
    );
  expect(picked(150)).toEqual(new Set(["dark", "well"]));
  expect(picked(600)).toEqual(new Set(["well"]));
  loadBalancer.ended(dark, { ...ended, tookMs: 520 }, 620);
  expect(picked(640).has("dark")).toBe(true);
});

test("what comes from another zone is dear where responses are large, and nearly free where they are small", () => {
  const loadBalancer = new LoadBalancer("a", RandomDraw.of(5));
  const [near, far] = [backend("near", 1), backend("far", 2, "b")];
  for (let at = 0; at < 40; at += 1)
    for (const one of [near, far])
      for (const [route, bytes] of [
        ["large", 200_000],
        ["small", 400],
      ] as const) {
        loadBalancer.began(one, at * 100, route);
        loadBalancer.ended(
          one,
          { tookMs: one === near ? 70 : 50, isWhole: true, goalMs: 500, route, bytes },
          at * 100 + 50,
        );
      }
  const farPart = (route: string): number =>
    Array.from({ length: 400 }, () =>
      loadBalancer.pick([near, far], { tried: new Set(), inHandLimit: 100, route }, 5000),
    ).filter((one) => one === far).length / 400;
  expect(farPart("large")).toBeLessThan(0.1);
  expect(farPart("small")).toBeGreaterThan(0.9);
});
