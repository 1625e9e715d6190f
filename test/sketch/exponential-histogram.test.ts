import { expect, test } from "vitest";
import { RandomDraw } from "../../src/simulation/random-draw.js";
import { ExponentialHistogram, stampOf } from "../../src/sketch/exponential-histogram.js";

const windowMs = 20_000;

const stream = (seed: number, count: number): number[] => {
  const random = RandomDraw.of(seed);
  const times: number[] = [];
  for (let atMs = 0; times.length < count; atMs += random() < 0.1 ? random() * 400 : random() * 6)
    times.push(Math.floor(atMs));
  return times;
};
const exact = (times: number[], now: number, rangeMs: number): number =>
  times.filter((time) => time <= now && time > now - rangeMs).length;

test("invariant 1 is satisfied and every estimate is within epsilon, across the wrap of stamps", () => {
  for (const epsilon of [0.05, 0.1, 0.3]) {
    const times = stream(7, 9000);
    const histogram = new ExponentialHistogram(epsilon, windowMs);
    times.forEach((time, index) => {
      histogram.add(stampOf(time));
      if (index % 97 !== 0) return;
      expect(histogram.satisfiesInvariant(stampOf(time))).toBe(true);
      for (const rangeMs of [500, 3000, 10_000, 19_999]) {
        const truth = exact(times.slice(0, index + 1), time, rangeMs);
        expect(Math.abs(histogram.estimate(stampOf(time), rangeMs) - truth)).toBeLessThanOrEqual(
          epsilon * truth + 1,
        );
      }
    });
  }
});

test("the error of a merge is at most eps + eps' + eps*eps', and that of h levels h*eps(1+eps)+eps", () => {
  const epsilon = 0.1;
  for (let seed = 1; seed <= 4; seed += 1) {
    const streams = Array.from({ length: 8 }, (_, index) => stream(seed * 10 + index, 4000));
    const all = streams.flat();
    const now = Math.min(...streams.map((times) => times.at(-1) ?? 0));
    let layer = streams.map((times) => {
      const histogram = new ExponentialHistogram(epsilon, windowMs);
      for (const time of times) if (time <= now) histogram.add(stampOf(time));
      return histogram;
    });
    for (let level = 1; layer.length > 1; level += 1) {
      const next: ExponentialHistogram[] = [];
      for (let index = 0; index < layer.length; index += 2)
        next.push(
          ExponentialHistogram.merge(
            layer.slice(index, index + 2),
            epsilon,
            windowMs,
            stampOf(now),
          ),
        );
      layer = next;
      if (layer.length > 1) continue;
      for (const rangeMs of [1000, 4000, 10_000, 15_000]) {
        const truth = exact(all, now, rangeMs);
        const bound = level * epsilon * (1 + epsilon) + epsilon;
        expect(
          Math.abs((layer[0]?.estimate(stampOf(now), rangeMs) ?? 0) - truth),
        ).toBeLessThanOrEqual(bound * truth + 1);
      }
    }
  }
});

test("a copy from the aged form estimates as the original does, and an idle histogram becomes empty", () => {
  const histogram = new ExponentialHistogram(0.1, windowMs);
  for (let atMs = 0; atMs < 30_000; atMs += 7) histogram.add(stampOf(atMs));
  const copy = ExponentialHistogram.fromAged(
    histogram.agedForm(stampOf(30_000)),
    0.1,
    windowMs,
    stampOf(512),
    0,
  );
  for (const rangeMs of [100, 5000, 12_000])
    expect(copy.estimate(512, rangeMs)).toBe(histogram.estimate(stampOf(30_000), rangeMs));
  histogram.expire(stampOf(51_000));
  expect(histogram.isEmpty).toBe(true);
});
