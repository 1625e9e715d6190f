import { expect, test } from "vitest";
import { RandomDraw } from "../../src/simulation/random-draw.js";
import { EcmSketch, type SketchFormat, SketchMismatchError } from "../../src/sketch/ecm-sketch.js";
import { stampOf } from "../../src/sketch/exponential-histogram.js";

const form: SketchFormat = { epsilon: 0.1, delta: 0.05, windowMs: 20_000, seed: 11 };

test("point queries, single and merged over two levels, miss their bounds no more often than delta", () => {
  const misses = { single: 0, merged: 0, asked: 0 };
  for (let seed = 1; seed <= 6; seed += 1) {
    const random = RandomDraw.of(seed);
    const leaves = Array.from({ length: 4 }, () => new EcmSketch(form));
    const arrivals: Array<{ leaf: number; item: number; at: number }> = [];
    for (let at = 0; at < 30_000; at += random() * 8)
      arrivals.push({
        leaf: Math.floor(random() * 4),
        item: Math.floor(300 * random() ** 3),
        at: Math.floor(at),
      });
    for (const { leaf, item, at } of arrivals) leaves[leaf]?.add(item, stampOf(at));
    const now = stampOf(30_000);
    const pairs = [
      EcmSketch.merge(leaves.slice(0, 2), form, now),
      EcmSketch.merge(leaves.slice(2), form, now),
    ];
    const root = EcmSketch.merge(pairs, form, now);
    const cell = root.cellEpsilon;
    const mergedEpsilon = 2 * cell * (1 + cell) + cell;
    for (const rangeMs of [2000, 10_000]) {
      const inRange = arrivals.filter(({ at }) => at > 30_000 - rangeMs);
      const own = inRange.filter(({ leaf }) => leaf === 0);
      for (let item = 0; item < 300; item += 7) {
        const truth = inRange.filter((one) => one.item === item).length;
        const ownTruth = own.filter((one) => one.item === item).length;
        misses.asked += 1;
        if (
          Math.abs((leaves[0]?.estimate(item, now, rangeMs) ?? 0) - ownTruth) >
          form.epsilon * own.length
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
  expect(misses.single).toBeLessThanOrEqual(form.delta * misses.asked);
  expect(misses.merged).toBeLessThanOrEqual(form.delta * misses.asked);
});

test("a sketch of other dimensions is refused", () => {
  const other = new EcmSketch({ ...form, seed: 12 });
  expect(() => EcmSketch.merge([other], form, 0)).toThrow(SketchMismatchError);
  expect(() => EcmSketch.ofAged(other.aged(0), form, 0, 0)).toThrow(SketchMismatchError);
});
