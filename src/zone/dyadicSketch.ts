import { EcmSketch, type AgedSketch, type SketchForm } from "./ecmSketch.js";

/** An item that is heavy, and how often it came. */
export interface HeavyItem {
  item: number;
  estimate: number;
}

/** One sketch for each power of two: finds the items that make up a given part of a window. */
export class DyadicSketch {
  readonly form: SketchForm;
  readonly bits: number;
  private readonly levels: EcmSketch[];

  constructor(form: SketchForm, bits: number, levels?: EcmSketch[]) {
    this.form = form;
    this.bits = bits;
    this.levels = levels ?? Array.from({ length: bits }, () => new EcmSketch(form));
  }

  add(item: number, stamp: number): void {
    this.levels.forEach((sketch, level) => sketch.add(Math.floor(item / 2 ** level), stamp));
  }

  estimate(item: number, now: number, rangeMs: number): number {
    return this.levels[0]?.estimate(item, now, rangeMs) ?? 0;
  }

  /** All items that came more often than `phi` of all arrivals, found from the widest ranges down. */
  heavy(phi: number, now: number, rangeMs: number): HeavyItem[] {
    const threshold = phi * (this.levels[0]?.total(now, rangeMs) ?? 0);
    let found: HeavyItem[] = [{ item: 0, estimate: 0 }, { item: 1, estimate: 0 }];
    for (let level = this.bits - 1; level >= 0; level -= 1) {
      const ranges = level === this.bits - 1 ? found : found.flatMap(({ item }) => [item * 2, item * 2 + 1].map((half) => ({ item: half, estimate: 0 })));
      found = ranges
        .map(({ item }) => ({ item, estimate: this.levels[level]?.estimate(item, now, rangeMs) ?? 0 }))
        .filter(({ estimate }) => estimate > 0 && estimate >= threshold);
    }
    return found.sort((a, b) => b.estimate - a.estimate);
  }

  expire(now: number): void {
    for (const sketch of this.levels) sketch.expire(now);
  }

  aged(now: number): AgedSketch[] {
    return this.levels.map((sketch) => sketch.aged(now));
  }

  static ofAged(aged: AgedSketch[], form: SketchForm, bits: number, now: number, olderMs: number): DyadicSketch {
    return new DyadicSketch(
      form,
      bits,
      aged.slice(0, bits).map((sketch) => EcmSketch.ofAged(sketch, form, now, olderMs)),
    );
  }

  static merge(inputs: DyadicSketch[], form: SketchForm, bits: number, now: number): DyadicSketch {
    const levels = Array.from({ length: bits }, (_, level) =>
      EcmSketch.merge(
        inputs.flatMap((input) => input.levels.slice(level, level + 1)),
        form,
        now,
      ),
    );
    return new DyadicSketch(form, bits, levels);
  }
}

if (import.meta.vitest) {
  const { expect, test } = import.meta.vitest;
  const { Draw } = await import("../rehearsal/draw.js");
  const { stampOf } = await import("./exponentialHistogram.js");
  test("every heavy item is found, and none that is far from heavy", () => {
    const form: SketchForm = { epsilon: 0.05, delta: 0.05, windowMs: 20_000, seed: 3 };
    const random = Draw.of(5);
    const sketch = new DyadicSketch(form, 10);
    const counts = new Map<number, number>();
    for (let at = 0; at < 9000; at += 2) {
      const item = random() < 0.5 ? [17, 400, 1023][Math.floor(random() * 3)] ?? 0 : Math.floor(random() * 1024);
      sketch.add(item, stampOf(at));
      counts.set(item, (counts.get(item) ?? 0) + 1);
    }
    const found = sketch.heavy(0.1, stampOf(9000), 10_000).map(({ item }) => item);
    expect(new Set(found)).toEqual(new Set([17, 400, 1023]));
  });
}
