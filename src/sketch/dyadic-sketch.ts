/** A hierarchy of ECM-sketches over dyadic ranges of items, which finds heavy items. */
import { EcmSketch, type AgedSketch, type SketchFormat } from "./ecm-sketch.js";

/** An item that is heavy, and an estimate of how often it arrived. */
export interface HeavyItem {
  item: number;
  estimate: number;
}

/** One sketch for each power of two: finds the items that make up a given part of the arrivals in a window. */
export class DyadicSketch {
  readonly format: SketchFormat;
  readonly bits: number;
  private readonly levels: EcmSketch[];

  constructor(format: SketchFormat, bits: number, levels?: EcmSketch[]) {
    this.format = format;
    this.bits = bits;
    this.levels = levels ?? Array.from({ length: bits }, () => new EcmSketch(format));
  }

  /** Counts one arrival of an item. */
  add(item: number, stamp: number): void {
    this.levels.forEach((sketch, level) => sketch.add(Math.floor(item / 2 ** level), stamp));
  }

  /** How often an item arrived in the last `rangeMs`. */
  estimate(item: number, now: number, rangeMs: number): number {
    return this.levels[0]?.estimate(item, now, rangeMs) ?? 0;
  }

  /** All items that make up at least the part `phi` of all arrivals, found from the widest ranges down. */
  findHeavyItems(phi: number, now: number, rangeMs: number): HeavyItem[] {
    const threshold = phi * (this.levels[0]?.total(now, rangeMs) ?? 0);
    let found: HeavyItem[] = [
      { item: 0, estimate: 0 },
      { item: 1, estimate: 0 },
    ];
    for (let level = this.bits - 1; level >= 0; level -= 1) {
      const ranges =
        level === this.bits - 1
          ? found
          : found.flatMap(({ item }) =>
              [item * 2, item * 2 + 1].map((half) => ({ item: half, estimate: 0 })),
            );
      found = ranges
        .map(({ item }) => ({
          item,
          estimate: this.levels[level]?.estimate(item, now, rangeMs) ?? 0,
        }))
        .filter(({ estimate }) => estimate > 0 && estimate >= threshold);
    }
    return found.sort((a, b) => b.estimate - a.estimate);
  }

  /** Drops what is older than the window. */
  expire(now: number): void {
    for (const sketch of this.levels) sketch.expire(now);
  }

  /** The form that travels. */
  agedForm(now: number): AgedSketch[] {
    return this.levels.map((sketch) => sketch.agedForm(now));
  }

  /** A sketch from its aged form; `olderMs` is how long it was in transit. */
  static fromAged(
    agedForm: AgedSketch[],
    format: SketchFormat,
    bits: number,
    now: number,
    olderMs: number,
  ): DyadicSketch {
    return new DyadicSketch(
      format,
      bits,
      agedForm.slice(0, bits).map((sketch) => EcmSketch.fromAged(sketch, format, now, olderMs)),
    );
  }

  /** Merges level by level. */
  static merge(
    inputs: DyadicSketch[],
    format: SketchFormat,
    bits: number,
    now: number,
  ): DyadicSketch {
    const levels = Array.from({ length: bits }, (_, level) =>
      EcmSketch.merge(
        inputs.flatMap((input) => input.levels.slice(level, level + 1)),
        format,
        now,
      ),
    );
    return new DyadicSketch(format, bits, levels);
  }
}
