/** The ECM-sketch: a Count-Min sketch over sliding windows, whose cells are exponential histograms. */
import xxhash from "xxhash-wasm";
import { ExponentialHistogram, type AgedHistogram } from "./exponential-histogram.js";

const { h32 } = await xxhash();

/** How many items' cells are cached for one format. */
const MAX_CACHED_ITEMS = 4096;
/** Cells of items by format. */
const cellCaches = new Map<string, Map<number, readonly number[]>>();

/** What two sketches must share to be merged. */
export interface SketchFormat {
  readonly epsilon: number;
  readonly delta: number;
  readonly windowMs: number;
  readonly seed: number;
}

/** A sketch in the form that travels. */
export interface AgedSketch {
  format: SketchFormat;
  cells: Array<{ cell: number; histogram: AgedHistogram }>;
}

/** Thrown where sketches of different dimensions or hash functions are combined. */
export class SketchMismatchError extends Error {}

/** Whether sketches of two formats can be merged. */
export const isSameSketchFormat = (a: SketchFormat, b: SketchFormat): boolean =>
  a.epsilon === b.epsilon && a.delta === b.delta && a.windowMs === b.windowMs && a.seed === b.seed;

/** A Count-Min array whose cells are exponential histograms: frequencies of items in a sliding window. */
export class EcmSketch {
  readonly format: SketchFormat;
  readonly width: number;
  readonly depth: number;
  readonly cellEpsilon: number;
  private readonly cells = new Map<number, ExponentialHistogram>();
  /** The cells of items, for all sketches of a format. */
  private readonly cellCache: Map<number, readonly number[]>;

  constructor(format: SketchFormat) {
    this.format = format;
    this.cellEpsilon = Math.sqrt(format.epsilon + 1) - 1;
    this.width = Math.ceil(Math.E / this.cellEpsilon);
    this.depth = Math.ceil(Math.log(1 / format.delta));
    const cacheKey = `${format.seed} ${this.width} ${this.depth}`;
    const cellCache = cellCaches.get(cacheKey) ?? new Map<number, readonly number[]>();
    cellCaches.set(cacheKey, cellCache);
    this.cellCache = cellCache;
  }

  /** Counts one arrival of an item. */
  add(item: number, stamp: number): void {
    for (const cell of this.cellsOf(item)) {
      let histogram = this.cells.get(cell);
      if (!histogram) {
        histogram = new ExponentialHistogram(this.cellEpsilon, this.format.windowMs);
        this.cells.set(cell, histogram);
      }
      histogram.add(stamp);
    }
  }

  /** How often an item arrived in the last `rangeMs`: the minimum over the rows. */
  estimate(item: number, now: number, rangeMs: number): number {
    return Math.min(
      ...this.cellsOf(item).map((cell) => this.cells.get(cell)?.estimate(now, rangeMs) ?? 0),
    );
  }

  /** How many arrivals there were in the last `rangeMs`: the minimum of the sums of the rows. */
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

  /** The form that travels, with ages in place of stamps. */
  agedForm(now: number): AgedSketch {
    this.expire(now);
    return {
      format: this.format,
      cells: [...this.cells].map(([cell, histogram]) => ({
        cell,
        histogram: histogram.agedForm(now),
      })),
    };
  }

  /** A sketch from its aged form; `olderMs` is how long it was in transit. */
  static fromAged(
    agedForm: AgedSketch,
    format: SketchFormat,
    now: number,
    olderMs: number,
  ): EcmSketch {
    if (!isSameSketchFormat(agedForm.format, format))
      throw new SketchMismatchError("The sketch has other dimensions.");
    const sketch = new EcmSketch(format);
    for (const { cell, histogram } of agedForm.cells) {
      if (cell >= sketch.width * sketch.depth)
        throw new SketchMismatchError("The sketch has a cell too many.");
      sketch.cells.set(
        cell,
        ExponentialHistogram.fromAged(histogram, sketch.cellEpsilon, format.windowMs, now, olderMs),
      );
    }
    return sketch;
  }

  /** Merges cell by cell. */
  static merge(inputs: EcmSketch[], format: SketchFormat, now: number): EcmSketch {
    const merged = new EcmSketch(format);
    const byCell = new Map<number, ExponentialHistogram[]>();
    for (const input of inputs) {
      if (!isSameSketchFormat(input.format, format))
        throw new SketchMismatchError("The sketch has other dimensions.");
      for (const [cell, histogram] of input.cells) {
        const histograms = byCell.get(cell);
        if (histograms) histograms.push(histogram);
        else byCell.set(cell, [histogram]);
      }
    }
    for (const [cell, histograms] of byCell) {
      const histogram = ExponentialHistogram.merge(
        histograms,
        merged.cellEpsilon,
        format.windowMs,
        now,
      );
      if (!histogram.isEmpty) merged.cells.set(cell, histogram);
    }
    return merged;
  }

  private cellsOf(item: number): readonly number[] {
    const cached = this.cellCache.get(item);
    if (cached) return cached;
    const cells = Array.from(
      { length: this.depth },
      (_, row) => row * this.width + (h32(String(item), this.format.seed + row) % this.width),
    );
    if (this.cellCache.size >= MAX_CACHED_ITEMS) this.cellCache.clear();
    this.cellCache.set(item, cells);
    return cells;
  }
}
