/** A seeded random number generator; the same seed gives the same sequence. */
export class RandomSource {
  private state: number;

  constructor(seed: number) {
    this.state = (Math.imul(seed, 0x9e3779b1) ^ 0x85ebca6b) >>> 0;
  }

  /** A random number in [0, 1). */
  next(): number {
    this.state = (this.state + 0x6d2b79f5) >>> 0;
    let mixed = this.state;
    mixed = Math.imul(mixed ^ (mixed >>> 15), mixed | 1);
    mixed ^= mixed + Math.imul(mixed ^ (mixed >>> 7), mixed | 61);
    return ((mixed ^ (mixed >>> 14)) >>> 0) / 2 ** 32;
  }

  /** A random integer in [0, limit). */
  below(limit: number): number {
    return Math.floor(this.next() * limit);
  }

  /** A random item, or undefined if there are none. */
  oneOf<T>(items: readonly T[]): T | undefined {
    return items[this.below(items.length)];
  }

  /** True with the given probability. */
  chance(probability: number): boolean {
    return this.next() < probability;
  }
}
