/** Stamps wrap around at this many milliseconds; windows are less than half of it. */
export const STAMP_WRAP_MS = 65_536;

/** The age of a stamp at a moment, both on a counter that wraps around. */
export const ageOf = (now: number, stamp: number): number =>
  (((now - stamp) % STAMP_WRAP_MS) + STAMP_WRAP_MS) % STAMP_WRAP_MS;

/** A stamp of a clock's reading. */
export const stampOf = (nowMs: number): number =>
  ((Math.floor(nowMs) % STAMP_WRAP_MS) + STAMP_WRAP_MS) % STAMP_WRAP_MS;

/** A histogram as it travels: ages in place of stamps, so that clocks need not agree. */
export interface AgedHistogram {
  /** Age of the moment before which nothing is held; `beforeWindow` when that was dropped. */
  floorAge: number;
  levels: number[][];
}

/** The age that stands for "older than any window". */
export const BEFORE_WINDOW = STAMP_WRAP_MS - 1;

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

  /** Counts arrivals. What comes out of order is counted at the newest stamp. */
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
    for (let at = this.levels.length - 1; at >= 0; at -= 1) {
      const level = this.level(at);
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
    let heldEndAge = 0;
    for (let at = 0; at < this.levels.length; at += 1) {
      const level = this.level(at);
      for (let one = level.length - 1; one >= 0; one -= 1) {
        const endAge = ageOf(now, level[one] ?? now);
        if (size > 0) {
          if (heldEndAge >= rangeMs) return sum;
          if (endAge > rangeMs) return sum + size / 2;
          sum += size;
        }
        size = 2 ** at;
        heldEndAge = endAge;
      }
    }
    if (size === 0 || heldEndAge >= rangeMs) return sum;
    return this.oldestStartAge(now, size, heldEndAge) > rangeMs ? sum + size / 2 : sum + size;
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
    const floorAge =
      typeof this.floor === "number"
        ? Math.min(ageOf(now, this.floor), BEFORE_WINDOW)
        : BEFORE_WINDOW;
    return { floorAge, levels: this.levels.map((level) => level.map((end) => ageOf(now, end))) };
  }

  /** A histogram from its aged form. */
  static ofAged(
    aged: AgedHistogram,
    epsilon: number,
    windowMs: number,
    now: number,
    olderMs: number,
  ): ExponentialHistogram {
    const histogram = new ExponentialHistogram(epsilon, windowMs);
    const rebased = (age: number): number =>
      stampOf(now - Math.min(age + olderMs, STAMP_WRAP_MS / 2 - 1));
    aged.levels.forEach((level, at) => histogram.level(at).push(...level.map(rebased)));
    histogram.floor = aged.floorAge >= windowMs ? "before" : rebased(aged.floorAge);
    const [first] = histogram.buckets(now);
    histogram.newest = stampOf(now - (first?.endAge ?? 0));
    histogram.expire(now);
    return histogram;
  }

  /** Replays the buckets of many histograms into a fresh one: half of each at its start, half at its end. */
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
    for (let at = 0; ends.length + copies > 0; at += 1) {
      const level = this.level(at);
      for (const end of ends) level.push(end);
      const excess = level.length + copies - (at === 0 ? this.unitLimit : this.limit);
      const pairs = excess > 0 ? Math.ceil(excess / 2) : 0;
      const old = level.splice(0, 2 * pairs);
      const used = 2 * pairs - old.length;
      const carried: number[] = [];
      for (let one = 1; one < old.length; one += 2) carried.push(old[one] ?? stamp);
      for (let left = copies - used; left > 0; left -= 1) level.push(stamp);
      ends = carried;
      copies = pairs - carried.length;
    }
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
    if (held) yield { ...held, startAge: this.oldestStartAge(now, held.size, held.endAge) };
  }

  /** Where the oldest bucket starts. */
  private oldestStartAge(now: number, size: number, endAge: number): number {
    const floorAge = typeof this.floor === "number" ? ageOf(now, this.floor) : BEFORE_WINDOW;
    return size === 1 ? endAge : Math.max(floorAge, endAge);
  }
}
