import { retryWindowMs } from "./counts.js";

/** Ours: a little under the rule's fifth and seventy, since neither counts nor clocks are exact. */
export const budgetRule = { earned: 0.18, pool: 60 };

interface Bucket {
  tokens: number;
  capacity: number;
}

/** What the sketch says of a service across the fleet, with this daemon's tries since. */
export interface FleetTries {
  first: number;
  further: number;
}

/** Decides on further tries: by the fleet's sketch, with an exact bucket behind it. */
export class Budget {
  private readonly buckets = new Map<string, Bucket>();
  private readonly wishes = new Map<string, number[]>();

  /** Counts a request that was taken, which earns a part of a further try. */
  countFirst(service: string): void {
    const bucket = this.bucket(service);
    bucket.tokens = Math.min(bucket.capacity, bucket.tokens + budgetRule.earned);
  }

  /** Takes leave for one further try, or tells why there is none. */
  take(service: string, fleet: FleetTries | undefined, nowMs: number): "granted" | "sketch" | "bucket" {
    const wishes = this.wishes.get(service) ?? [];
    wishes.push(nowMs);
    this.wishes.set(service, wishes);
    if (fleet && fleet.further + 1 > budgetRule.earned * fleet.first + budgetRule.pool) return "sketch";
    const bucket = this.bucket(service);
    if (bucket.tokens < 1) return "bucket";
    bucket.tokens -= 1;
    return "granted";
  }

  /** A further try that was granted reached nobody. */
  giveBack(service: string): void {
    const bucket = this.bucket(service);
    bucket.tokens = Math.min(bucket.capacity, bucket.tokens + 1);
  }

  /** How many further tries were wished for in the last window. */
  wished(service: string, nowMs: number): number {
    const wishes = (this.wishes.get(service) ?? []).filter((atMs) => atMs > nowMs - retryWindowMs);
    this.wishes.set(service, wishes);
    return wishes.length;
  }

  /** Sets what the leader granted; a service that is not named has none. */
  setCapacities(capacities: ReadonlyMap<string, number>): void {
    for (const service of new Set([...this.buckets.keys(), ...capacities.keys()])) {
      const bucket = this.bucket(service);
      bucket.capacity = capacities.get(service) ?? 0;
      bucket.tokens = Math.min(bucket.tokens, bucket.capacity);
    }
  }

  get capacities(): Map<string, number> {
    return new Map([...this.buckets].map(([service, { capacity }]) => [service, capacity]));
  }

  private bucket(service: string): Bucket {
    const known = this.buckets.get(service);
    if (known) return known;
    const bucket = { tokens: 0, capacity: 0 };
    this.buckets.set(service, bucket);
    return bucket;
  }
}

if (import.meta.vitest) {
  const { expect, test } = import.meta.vitest;
  const { Draw } = await import("../rehearsal/draw.js");
  const { Allowance } = await import("./allowance.js");
  test("in any window the fleet's further tries stay under the rule, whatever edges come, die and are granted", () => {
    for (let seed = 1; seed <= 20; seed += 1) {
      const random = Draw.of(seed);
      const allowance = new Allowance();
      allowance.lead(0, true);
      let born = 0;
      const edges = Array.from({ length: 6 }, () => ({ name: `e${(born += 1)}`, budget: new Budget(), diesMs: random() * 120_000 }));
      const firsts: number[] = [];
      const furthers: number[] = [];
      for (let nowMs = 0; nowMs < 60_000; nowMs += 20) {
        if (nowMs % 25_000 === 24_980) allowance.lead(nowMs, false);
        edges.forEach((edge, at) => {
          if (nowMs > edge.diesMs) edges[at] = { name: `e${(born += 1)}`, budget: new Budget(), diesMs: nowMs + random() * 40_000 };
          if (nowMs % 200 === 0 && random() < 0.9) {
            const held = edge.budget.capacities;
            edge.budget.setCapacities(allowance.grant(edge.name, held, new Map([["s", edge.budget.wished("s", nowMs)]]), ["s"], nowMs));
          }
          if (random() < 0.25) {
            edge.budget.countFirst("s");
            firsts.push(nowMs);
          }
          if (random() < 0.4 && edge.budget.take("s", undefined, nowMs) === "granted") furthers.push(nowMs);
        });
      }
      for (let from = 0; from < 60_000; from += 500) {
        const inWindow = (times: number[]): number => times.filter((atMs) => atMs >= from && atMs < from + retryWindowMs).length;
        expect(inWindow(furthers)).toBeLessThanOrEqual(0.2 * inWindow(firsts) + 70);
      }
      expect(furthers.length).toBeGreaterThan(firsts.length * 0.1);
    }
  });
  test("the sketch decides before the bucket does", () => {
    const budget = new Budget();
    budget.setCapacities(new Map([["s", 10]]));
    expect(budget.take("s", { first: 0, further: 0 }, 0)).toBe("bucket");
    for (let count = 0; count < 20; count += 1) budget.countFirst("s");
    expect(budget.take("s", { first: 100, further: 90 }, 0)).toBe("sketch");
    expect(budget.take("s", { first: 100, further: 20 }, 0)).toBe("granted");
  });
}
