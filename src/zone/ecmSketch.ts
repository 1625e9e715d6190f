import xxhash from "xxhash-wasm";
import { ExponentialHistogram, type AgedHistogram } from "./exponentialHistogram.js";

const { h32 } = await xxhash();

/** What two sketches must share to be merged. */
export interface SketchForm {
  readonly epsilon: number;
  readonly delta: number;
  readonly windowMs: number;
  readonly seed: number;
}

/** A sketch as it travels. */
export interface AgedSketch {
  form: SketchForm;
  cells: Array<{ cell: number; histogram: AgedHistogram }>;
}

/** Raised when sketches of other dimensions or hash functions meet. */
export class SketchMismatchError extends Error {}

export const SketchForm = {
  same: (a: SketchForm, b: SketchForm): boolean => a.epsilon === b.epsilon && a.delta === b.delta && a.windowMs === b.windowMs && a.seed === b.seed,
};

/** A Count-Min array whose cells are exponential histograms: frequencies of items in a sliding window. */
export class EcmSketch {
  readonly form: SketchForm;
  readonly width: number;
  readonly depth: number;
  readonly cellEpsilon: number;
  private readonly cells = new Map<number, ExponentialHistogram>();

  constructor(form: SketchForm) {
    this.form = form;
    this.cellEpsilon = Math.sqrt(form.epsilon + 1) - 1;
    this.width = Math.ceil(Math.E / this.cellEpsilon);
    this.depth = Math.ceil(Math.log(1 / form.delta));
  }

  /** Counts one arrival of an item. */
  add(item: number, stamp: number): void {
    for (const cell of this.cellsOf(item)) {
      let histogram = this.cells.get(cell);
      if (!histogram) {
        histogram = new ExponentialHistogram(this.cellEpsilon, this.form.windowMs);
        this.cells.set(cell, histogram);
      }
      histogram.add(stamp);
    }
  }

  /** How often an item came in the last `rangeMs`: the least of its rows. */
  estimate(item: number, now: number, rangeMs: number): number {
    return Math.min(...this.cellsOf(item).map((cell) => this.cells.get(cell)?.estimate(now, rangeMs) ?? 0));
  }

  /** How many arrivals there were in the last `rangeMs`, from the sum of a row: the least of the rows' sums. */
  total(now: number, rangeMs: number): number {
    const sums = new Array<number>(this.depth).fill(0);
    for (const [cell, histogram] of this.cells) {
      const row = Math.floor(cell / this.width);
      sums[row] = (sums[row] ?? 0) + histogram.estimate(now, rangeMs);
    }
    return Math.min(...sums);
  }

  /** Drops what is older than the window; to be called more often than the stamps wrap around. */
  expire(now: number): void {
    for (const [cell, histogram] of this.cells) {
      histogram.expire(now);
      if (histogram.isEmpty) this.cells.delete(cell);
    }
  }

  aged(now: number): AgedSketch {
    this.expire(now);
    return { form: this.form, cells: [...this.cells].map(([cell, histogram]) => ({ cell, histogram: histogram.aged(now) })) };
  }

  /** A sketch from its aged form; `olderMs` is how long it has been on its way. */
  static ofAged(aged: AgedSketch, form: SketchForm, now: number, olderMs: number): EcmSketch {
    if (!SketchForm.same(aged.form, form)) throw new SketchMismatchError("The sketch has other dimensions.");
    const sketch = new EcmSketch(form);
    for (const { cell, histogram } of aged.cells) {
      if (cell >= sketch.width * sketch.depth) throw new SketchMismatchError("The sketch has a cell too many.");
      sketch.cells.set(cell, ExponentialHistogram.ofAged(histogram, sketch.cellEpsilon, form.windowMs, now, olderMs));
    }
    return sketch;
  }

  /** Merges cell by cell. */
  static merge(inputs: EcmSketch[], form: SketchForm, now: number): EcmSketch {
    const merged = new EcmSketch(form);
    const byCell = new Map<number, ExponentialHistogram[]>();
    for (const input of inputs) {
      if (!SketchForm.same(input.form, form)) throw new SketchMismatchError("The sketch has other dimensions.");
      for (const [cell, histogram] of input.cells) byCell.set(cell, [...(byCell.get(cell) ?? []), histogram]);
    }
    for (const [cell, histograms] of byCell) {
      const histogram = ExponentialHistogram.merge(histograms, merged.cellEpsilon, form.windowMs, now);
      if (!histogram.isEmpty) merged.cells.set(cell, histogram);
    }
    return merged;
  }

  private cellsOf(item: number): number[] {
    return Array.from({ length: this.depth }, (_, row) => row * this.width + (h32(String(item), this.form.seed + row) % this.width));
  }
}

if (import.meta.vitest) {
  const { expect, test } = import.meta.vitest;
  const { Draw } = await import("../rehearsal/draw.js");
  const { stampOf } = await import("./exponentialHistogram.js");
  const form: SketchForm = { epsilon: 0.1, delta: 0.05, windowMs: 20_000, seed: 11 };

  test("point queries, single and merged over two levels, miss their bounds no more often than delta", () => {
    const misses = { single: 0, merged: 0, asked: 0 };
    for (let seed = 1; seed <= 6; seed += 1) {
      const random = Draw.of(seed);
      const leaves = Array.from({ length: 4 }, () => new EcmSketch(form));
      const arrivals: Array<{ leaf: number; item: number; at: number }> = [];
      for (let at = 0; at < 30_000; at += random() * 8) arrivals.push({ leaf: Math.floor(random() * 4), item: Math.floor(300 * random() ** 3), at: Math.floor(at) });
      for (const { leaf, item, at } of arrivals) leaves[leaf]?.add(item, stampOf(at));
      const now = stampOf(30_000);
      const pairs = [EcmSketch.merge(leaves.slice(0, 2), form, now), EcmSketch.merge(leaves.slice(2), form, now)];
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
          if (Math.abs((leaves[0]?.estimate(item, now, rangeMs) ?? 0) - ownTruth) > form.epsilon * own.length) misses.single += 1;
          if (Math.abs(root.estimate(item, now, rangeMs) - truth) > (mergedEpsilon + cell + mergedEpsilon * cell) * inRange.length) misses.merged += 1;
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
}
