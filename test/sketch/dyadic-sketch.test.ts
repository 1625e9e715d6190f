import { expect, test } from "vitest";
import { RandomDraw } from "../../src/simulation/random-draw.js";
import { DyadicSketch } from "../../src/sketch/dyadic-sketch.js";
import type { SketchFormat } from "../../src/sketch/ecm-sketch.js";
import { stampOf } from "../../src/sketch/exponential-histogram.js";

test("every heavy item is found, and none that is far from heavy", () => {
  const format: SketchFormat = { epsilon: 0.05, delta: 0.05, windowMs: 20_000, seed: 3 };
  const random = RandomDraw.of(5);
  const sketch = new DyadicSketch(format, 10);
  const counts = new Map<number, number>();
  for (let atMs = 0; atMs < 9000; atMs += 2) {
    const item =
      random() < 0.5
        ? ([17, 400, 1023][Math.floor(random() * 3)] ?? 0)
        : Math.floor(random() * 1024);
    sketch.add(item, stampOf(atMs));
    counts.set(item, (counts.get(item) ?? 0) + 1);
  }
  const found = sketch.findHeavyItems(0.1, stampOf(9000), 10_000).map(({ item }) => item);
  expect(new Set(found)).toEqual(new Set([17, 400, 1023]));
});
