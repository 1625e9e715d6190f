/** The exponential histogram of Datar et al.: arrivals in a sliding window, counted in buckets of powers of two. */

/** Stamps wrap around at this many milliseconds; windows are less than half of it. */
export const STAMP_WRAP_MS = 65_536;

/** The age of a stamp, both it and `now` being counted modulo the wrap. */
export const ageOf = (now: number, stamp: number): number =>
  (((now - stamp) % STAMP_WRAP_MS) + STAMP_WRAP_MS) % STAMP_WRAP_MS;

/** The stamp of a reading of the clock. */
export const stampOf = (nowMs: number): number =>
  ((Math.floor(nowMs) % STAMP_WRAP_MS) + STAMP_WRAP_MS) % STAMP_WRAP_MS;

/** A histogram in the form that travels: ages in place of stamps, so that clocks need not agree. */
export interface AgedHistogram {
  /** Age of the first arrival; `BEFORE_WINDOW` where that is older than the window. */
  floorAge: number;
  /** End ages of the buckets of size 2^level, oldest first. */
  levels: number[][];
}

/** The age that stands for "older than any window". */
export const BEFORE_WINDOW = STAMP_WRAP_MS - 1;

/** One bucket: arrivals after `startAge` and up to `endAge`. */
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
    if (windowMs * 2 >= STAMP_WRAP_MS)
      throw new RangeError("The window is too long for the stamps.");
    const k = Math.ceil(1 / epsilon);
    this.epsilon = epsilon;
    this.windowMs = windowMs;
    this.unitLimit = k + 1;
    this.limit = Math.ceil(k / 2) + 1;
  }

  get isEmpty(): boolean {
    return this.levels.every((level) => level.length === 0);
  }

  /** Counts arrivals. Those out of order are counted at the newest stamp. */
  add(stamp: number, count = 1): void {
    if (this.floor === undefined) {
      this.floor = stamp;
      this.newest = stamp;
    }
    if (ageOf(stamp, this.newest) < STAMP_WRAP_MS / 2) this.newest = stamp;
    this.expire(this.newest);
    this.carry(this.newest, count);
  }

  /** Drops the buckets that no longer overlap the window. */
  expire(now: number): void {
    for (let index = this.levels.length - 1; index >= 0; index -= 1) {
      const level = this.level(index);
      for (let end = level[0]; end !== undefined; end = level[0]) {
        if (ageOf(now, end) < this.windowMs) {
          if (typeof this.floor === "number" && ageOf(now, this.floor) >= this.windowMs)
            this.floor = "before";
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
    let size = 0;
    let newerEndAge = 0;
    for (let index = 0; index < this.levels.length; index += 1) {
      const level = this.level(index);
      for (let bucket = level.length - 1; bucket >= 0; bucket -= 1) {
        const endAge = ageOf(now, level[bucket] ?? now);
        if (size > 0) {
          if (newerEndAge >= rangeMs) return sum;
          if (endAge > rangeMs) return sum + size / 2;
          sum += size;
        }
        size = 2 ** index;
        newerEndAge = endAge;
      }
    }
    if (size === 0 || newerEndAge >= rangeMs) return sum;
    return this.oldestStartAge(now, size, newerEndAge) > rangeMs ? sum + size / 2 : sum + size;
  }

  /** Whether invariant 1 is satisfied by every bucket. */
  satisfiesInvariant(now: number): boolean {
    let newerCount = 0;
    for (const { size } of this.buckets(now)) {
      if (size > 1 && size / (2 * (1 + newerCount)) > this.epsilon + 1e-12) return false;
      newerCount += size;
    }
    return true;
  }

  /** The histogram with ages in place of stamps. */
  agedForm(now: number): AgedHistogram {
    this.expire(now);
    const floorAge =
      typeof this.floor === "number"
        ? Math.min(ageOf(now, this.floor), BEFORE_WINDOW)
        : BEFORE_WINDOW;
    return { floorAge, levels: this.levels.map((level) => level.map((end) => ageOf(now, end))) };
  }

  /** A histogram from its aged form. */
  static fromAged(
    agedForm: AgedHistogram,
    epsilon: number,
    windowMs: number,
    now: number,
    olderMs: number,
  ): ExponentialHistogram {
    const histogram = new ExponentialHistogram(epsilon, windowMs);
    const rebased = (age: number): number =>
      stampOf(now - Math.min(age + olderMs, STAMP_WRAP_MS / 2 - 1));
    agedForm.levels.forEach((level, index) => histogram.level(index).push(...level.map(rebased)));
    histogram.floor = agedForm.floorAge >= windowMs ? "before" : rebased(agedForm.floorAge);
    const [first] = histogram.buckets(now);
    histogram.newest = stampOf(now - (first?.endAge ?? 0));
    histogram.expire(now);
    return histogram;
  }

  /** Replays the buckets of several histograms into a new one: half of each at its start, half at its end. */
  static merge(
    inputs: ExponentialHistogram[],
    epsilon: number,
    windowMs: number,
    now: number,
  ): ExponentialHistogram {
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
    for (const { age, count } of events) if (age < windowMs) merged.add(stampOf(now - age), count);
    if (merged.floor !== undefined && inputs.some((input) => input.floor === "before"))
      merged.floor = "before";
    return merged;
  }

  /** Adds arrivals at one stamp: where a level grows over its limit, its oldest buckets are merged in pairs into the next. */
  private carry(stamp: number, count: number): void {
    let ends: readonly number[] = [];
    let copies = count;
    for (let index = 0; ends.length + copies > 0; index += 1) {
      const level = this.level(index);
      for (const end of ends) level.push(end);
      const excess = level.length + copies - (index === 0 ? this.unitLimit : this.limit);
      const pairs = excess > 0 ? Math.ceil(excess / 2) : 0;
      const merged = level.splice(0, 2 * pairs);
      const used = 2 * pairs - merged.length;
      const carried: number[] = [];
      for (let second = 1; second < merged.length; second += 2)
        carried.push(merged[second] ?? stamp);
      for (let left = copies - used; left > 0; left -= 1) level.push(stamp);
      ends = carried;
      copies = pairs - carried.length;
    }
  }

  private level(index: number): number[] {
    while (this.levels.length <= index) this.levels.push([]);
    return this.levels[index] ?? [];
  }

  /** The buckets, newest first. A bucket starts where the next older one ends. */
  private *buckets(now: number): Generator<Bucket> {
    let newer: { size: number; endAge: number } | undefined;
    for (let index = 0; index < this.levels.length; index += 1) {
      const level = this.level(index);
      for (let bucket = level.length - 1; bucket >= 0; bucket -= 1) {
        const endAge = ageOf(now, level[bucket] ?? now);
        if (newer) yield { ...newer, startAge: endAge };
        newer = { size: 2 ** index, endAge };
      }
    }
    if (newer) yield { ...newer, startAge: this.oldestStartAge(now, newer.size, newer.endAge) };
  }

  /** Where the oldest bucket starts. */
  private oldestStartAge(now: number, size: number, endAge: number): number {
    const floorAge = typeof this.floor === "number" ? ageOf(now, this.floor) : BEFORE_WINDOW;
    return size === 1 ? endAge : Math.max(floorAge, endAge);
  }
}
