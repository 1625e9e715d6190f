/** Stamps wrap around at this many milliseconds; windows are less than half of it. */
export const wrapMs = 65_536;

/** The age of a stamp at a moment, both on a counter that wraps around. */
export const ageOf = (now: number, stamp: number): number => (((now - stamp) % wrapMs) + wrapMs) % wrapMs;

/** A stamp of a clock's reading. */
export const stampOf = (nowMs: number): number => ((Math.floor(nowMs) % wrapMs) + wrapMs) % wrapMs;

/** A histogram as it travels: ages in place of stamps, so that clocks need not agree. */
export interface AgedHistogram {
  /** Age of the moment before which nothing is held; `beforeWindow` when that was dropped. */
  floorAge: number;
  levels: number[][];
}

/** The age that stands for "older than any window". */
export const beforeWindow = wrapMs - 1;

/** One bucket: how many arrivals, after `startAge` and up to `endAge`. */
interface Bucket {
  size: number;
  startAge: number;
  endAge: number;
}

/** A time-based exponential histogram: arrivals in a sliding window, counted within a relative error. */
export class ExponentialHistogram {
  readonly epsilon: number;
  readonly windowMs: number;
  private readonly unitLimit: number;
  private readonly limit: number;
  /** The end stamps of the buckets of size 2^level, oldest first. */
  private readonly levels: number[][] = [];
  private newest = 0;
  private floor: number | "before" | undefined;

  constructor(epsilon: number, windowMs: number) {
    if (windowMs * 2 >= wrapMs) throw new RangeError("The window is too long for the stamps.");
    const k = Math.ceil(1 / epsilon);
    this.epsilon = epsilon;
    this.windowMs = windowMs;
    this.unitLimit = k + 1;
    this.limit = Math.ceil(k / 2) + 1;
  }

  get isEmpty(): boolean {
    return this.levels.every((level) => level.length === 0);
  }

  /** Counts one arrival. One that comes out of order is counted at the newest stamp. */
  add(stamp: number): void {
    if (this.floor === undefined) {
      this.floor = stamp;
      this.newest = stamp;
    }
    if (ageOf(stamp, this.newest) < wrapMs / 2) this.newest = stamp;
    this.expire(this.newest);
    const units = this.level(0);
    units.push(this.newest);
    for (let at = 0, level = units; level.length > (at === 0 ? this.unitLimit : this.limit); at += 1) {
      level.shift();
      const end = level.shift();
      level = this.level(at + 1);
      if (end !== undefined) level.push(end);
    }
  }

  /** Drops the buckets that no longer overlap the window. */
  expire(now: number): void {
    for (let at = this.levels.length - 1; at >= 0; at -= 1) {
      const level = this.level(at);
      for (let end = level[0]; end !== undefined; end = level[0]) {
        if (ageOf(now, end) < this.windowMs) {
          if (typeof this.floor === "number" && ageOf(now, this.floor) >= this.windowMs) this.floor = "before";
          return;
        }
        level.shift();
        this.floor = "before";
      }
    }
    this.floor = undefined;
  }

  /** The arrivals of the last `rangeMs`: whole buckets, and half of the oldest that overlaps. */
  estimate(now: number, rangeMs: number): number {
    let sum = 0;
    for (const bucket of this.buckets(now)) {
      if (bucket.endAge >= rangeMs) break;
      if (bucket.startAge > rangeMs) return sum + bucket.size / 2;
      sum += bucket.size;
    }
    return sum;
  }

  /** Whether invariant 1 holds for every bucket. */
  holdsInvariant(now: number): boolean {
    let before = 0;
    for (const { size } of this.buckets(now)) {
      if (size > 1 && size / (2 * (1 + before)) > this.epsilon + 1e-12) return false;
      before += size;
    }
    return true;
  }

  /** The histogram with ages in place of stamps. */
  aged(now: number): AgedHistogram {
    this.expire(now);
    const floorAge = typeof this.floor === "number" ? Math.min(ageOf(now, this.floor), beforeWindow) : beforeWindow;
    return { floorAge, levels: this.levels.map((level) => level.map((end) => ageOf(now, end))) };
  }

  /** A histogram from its aged form. */
  static ofAged(aged: AgedHistogram, epsilon: number, windowMs: number, now: number, olderMs: number): ExponentialHistogram {
    const histogram = new ExponentialHistogram(epsilon, windowMs);
    const rebased = (age: number): number => stampOf(now - Math.min(age + olderMs, wrapMs / 2 - 1));
    aged.levels.forEach((level, at) => histogram.level(at).push(...level.map(rebased)));
    histogram.floor = aged.floorAge >= windowMs ? "before" : rebased(aged.floorAge);
    const [first] = histogram.buckets(now);
    histogram.newest = stampOf(now - (first?.endAge ?? 0));
    histogram.expire(now);
    return histogram;
  }

  /** Replays the buckets of many histograms into a fresh one: half of each at its start, half at its end. */
  static merge(inputs: ExponentialHistogram[], epsilon: number, windowMs: number, now: number): ExponentialHistogram {
    const events: Array<{ age: number; count: number }> = [];
    for (const input of inputs) {
      for (const { size, startAge, endAge } of input.buckets(now)) {
        const early = Math.floor(size / 2);
        if (early > 0) events.push({ age: Math.min(startAge, windowMs), count: early });
        events.push({ age: endAge, count: size - early });
      }
    }
    events.sort((a, b) => b.age - a.age);
    const merged = new ExponentialHistogram(epsilon, windowMs);
    for (const { age, count } of events) {
      if (age >= windowMs) continue;
      const stamp = stampOf(now - age);
      for (let one = 0; one < count; one += 1) merged.add(stamp);
    }
    if (merged.floor !== undefined && inputs.some((input) => input.floor === "before")) merged.floor = "before";
    return merged;
  }

  private level(at: number): number[] {
    for (let missing = this.levels.length; missing <= at; missing += 1) this.levels.push([]);
    return this.levels[at] ?? [];
  }

  /** The buckets, newest first. A bucket starts where the next older one ends. */
  private *buckets(now: number): Generator<Bucket> {
    let held: { size: number; endAge: number } | undefined;
    for (let at = 0; at < this.levels.length; at += 1) {
      const level = this.level(at);
      for (let one = level.length - 1; one >= 0; one -= 1) {
        const endAge = ageOf(now, level[one] ?? now);
        if (held) yield { ...held, startAge: endAge };
        held = { size: 2 ** at, endAge };
      }
    }
    if (!held) return;
    const floorAge = typeof this.floor === "number" ? ageOf(now, this.floor) : beforeWindow;
    yield { ...held, startAge: held.size === 1 ? held.endAge : Math.max(floorAge, held.endAge) };
  }
}

if (import.meta.vitest) {
  const { expect, test } = import.meta.vitest;
  const { Draw } = await import("../rehearsal/draw.js");
  const windowMs = 20_000;

  const stream = (seed: number, count: number): number[] => {
    const random = Draw.of(seed);
    const times: number[] = [];
    for (let at = 0; times.length < count; at += random() < 0.1 ? random() * 400 : random() * 6) times.push(Math.floor(at));
    return times;
  };
  const exact = (times: number[], now: number, rangeMs: number): number => times.filter((time) => time <= now && time > now - rangeMs).length;

  test("invariant 1 holds and every query stays within epsilon, across wrap-around", () => {
    for (const epsilon of [0.05, 0.1, 0.3]) {
      const times = stream(7, 9000);
      const histogram = new ExponentialHistogram(epsilon, windowMs);
      times.forEach((time, at) => {
        histogram.add(stampOf(time));
        if (at % 97 !== 0) return;
        expect(histogram.holdsInvariant(stampOf(time))).toBe(true);
        for (const rangeMs of [500, 3000, 10_000, 19_999]) {
          const truth = exact(times.slice(0, at + 1), time, rangeMs);
          expect(Math.abs(histogram.estimate(stampOf(time), rangeMs) - truth)).toBeLessThanOrEqual(epsilon * truth + 1);
        }
      });
    }
  });

  test("a merge stays within eps + eps' + eps*eps', and h levels within h*eps(1+eps)+eps", () => {
    const epsilon = 0.1;
    for (let seed = 1; seed <= 4; seed += 1) {
      const streams = Array.from({ length: 8 }, (_, at) => stream(seed * 10 + at, 4000));
      const all = streams.flat();
      const now = Math.min(...streams.map((times) => times.at(-1) ?? 0));
      let layer = streams.map((times) => {
        const histogram = new ExponentialHistogram(epsilon, windowMs);
        for (const time of times) if (time <= now) histogram.add(stampOf(time));
        return histogram;
      });
      for (let level = 1; layer.length > 1; level += 1) {
        const next: ExponentialHistogram[] = [];
        for (let at = 0; at < layer.length; at += 2) next.push(ExponentialHistogram.merge(layer.slice(at, at + 2), epsilon, windowMs, stampOf(now)));
        layer = next;
        if (layer.length > 1) continue;
        for (const rangeMs of [1000, 4000, 10_000, 15_000]) {
          const truth = exact(all, now, rangeMs);
          const bound = level * epsilon * (1 + epsilon) + epsilon;
          expect(Math.abs((layer[0]?.estimate(stampOf(now), rangeMs) ?? 0) - truth)).toBeLessThanOrEqual(bound * truth + 1);
        }
      }
    }
  });

  test("an aged copy counts as the original does, and an idle one empties", () => {
    const histogram = new ExponentialHistogram(0.1, windowMs);
    for (let at = 0; at < 30_000; at += 7) histogram.add(stampOf(at));
    const copy = ExponentialHistogram.ofAged(histogram.aged(stampOf(30_000)), 0.1, windowMs, stampOf(512), 0);
    for (const rangeMs of [100, 5000, 12_000]) expect(copy.estimate(512, rangeMs)).toBe(histogram.estimate(stampOf(30_000), rangeMs));
    histogram.expire(stampOf(51_000));
    expect(histogram.isEmpty).toBe(true);
  });
}
