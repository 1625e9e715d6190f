import { expect, test } from "vitest";
import { RandomDraw } from "../../src/simulation/random-draw.js";
import { EcmSketch, type SketchFormat, SketchMismatchError } from "../../src/sketch/ecm-sketch.js";
import { stampOf } from "../../src/sketch/exponential-histogram.js";

const format: SketchFormat = { epsilon: 0.1, delta: 0.05, windowMs: 20_000, seed: 11 };

test("point queries, of one sketch and merged over two levels, exceed their bounds no more often than delta", () => {
  const misses = { single: 0, merged: 0, queries: 0 };
  for (let seed = 1; seed <= 6; seed += 1) {
    const random = RandomDraw.of(seed);
    const leaves = Array.from({ length: 4 }, () => new EcmSketch(format));
    const arrivals: Array<{ leaf: number; item: number; atMs: number }> = [];
    for (let atMs = 0; atMs < 30_000; atMs += random() * 8)
      arrivals.push({
        leaf: Math.floor(random() * 4),
        item: Math.floor(300 * random() ** 3),
        atMs: Math.floor(atMs),
      });
    for (const { leaf, item, atMs } of arrivals) leaves[leaf]?.add(item, stampOf(atMs));
    const now = stampOf(30_000);
    const pairs = [
      EcmSketch.merge(leaves.slice(0, 2), format, now),
      EcmSketch.merge(leaves.slice(2), format, now),
    ];
    const root = EcmSketch.merge(pairs, format, now);
    const cell = root.cellEpsilon;
    const mergedEpsilon = 2 * cell * (1 + cell) + cell;
    for (const rangeMs of [2000, 10_000]) {
      const inRange = arrivals.filter(({ atMs }) => atMs > 30_000 - rangeMs);
      const own = inRange.filter(({ leaf }) => leaf === 0);
      for (let item = 0; item < 300; item += 7) {
        const truth = inRange.filter((one) => one.item === item).length;
        const ownTruth = own.filter((one) => one.item === item).length;
        misses.queries += 1;
        if (
          Math.abs((leaves[0]?.estimate(item, now, rangeMs) ?? 0) - ownTruth) >
          format.epsilon * own.length
        )
          misses.single += 1;
        if (
          Math.abs(root.estimate(item, now, rangeMs) - truth) >
          (mergedEpsilon + cell + mergedEpsilon * cell) * inRange.length
        )
          misses.merged += 1;
      }
    }
  }
  expect(misses.single).toBeLessThanOrEqual(format.delta * misses.queries);
  expect(misses.merged).toBeLessThanOrEqual(format.delta * misses.queries);
});

test("a sketch with another seed is refused", () => {
  const other = new EcmSketch({ ...format, seed: 12 });
  expect(() => EcmSketch.merge([other], format, 0)).toThrow(SketchMismatchError);
  expect(() => EcmSketch.fromAged(other.agedForm(0), format, 0, 0)).toThrow(SketchMismatchError);
});
