/** A seeded source of choices: the same seed gives the same ones. */
export class RandomSource {
  private state: number;

  constructor(seed: number) {
    this.state = (Math.imul(seed, 0x9e3779b1) ^ 0x85ebca6b) >>> 0;
  }

  /** A number from 0 up to 1. */
  next(): number {
    this.state = (this.state + 0x6d2b79f5) >>> 0;
    let mixed = this.state;
    mixed = Math.imul(mixed ^ (mixed >>> 15), mixed | 1);
    mixed ^= mixed + Math.imul(mixed ^ (mixed >>> 7), mixed | 61);
    return ((mixed ^ (mixed >>> 14)) >>> 0) / 2 ** 32;
  }

  /** A whole number from 0 up to a limit, without it. */
  below(limit: number): number {
    return Math.floor(this.next() * limit);
  }

  /** One of some items, or undefined where there is none. */
  oneOf<T>(items: readonly T[]): T | undefined {
    return items[this.below(items.length)];
  }

  /** Whether something with a probability happens. */
  chance(probability: number): boolean {
    return this.next() < probability;
  }
}
