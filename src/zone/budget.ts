import { retryWindowMs } from "./counts.js";

/** The rule: a fifth of a service's requests and seventy more in any ten seconds. */
export const repeatRule = { earned: 0.2, pool: 70 };

/** Ours: what the sketch decides by on the ordinary path. */
export const sketchRule = { earned: 0.165, pool: 45 };

/** Ours: what the exact guard allows at most, between the sketch's limits and the rule's. */
export const guardRule = { earned: 0.185, pool: 66 };

const slotMs = 100;
/** Longer than the window, since clocks run at their own pace and a lossy network brings tries closer together than they were sent. */
const heldSlots = Math.ceil((retryWindowMs + 1000) / slotMs);

interface Slot {
  at: number;
  requests: number;
  further: number;
  wished: number;
}

interface Account {
  capacity: number;
  slots: Slot[];
}

/** What the sketch leaves this daemon of a service's further tries, and what it took since. */
export interface SketchLeave {
  readonly part: number;
  readonly taken: number;
}

/**
 * Decides on further tries: by the fleet's sketch, with an exact guard behind it. The guard is a capacity that the leader
 * granted, and what this daemon's own requests earned: in no stretch of the window may more be taken than both together.
 */
export class Budget {
  private readonly accounts = new Map<string, Account>();
  /** Hears that a capacity is nearly spent. */
  onShort: () => void = () => undefined;

  /** Counts a request that was taken, which earns a part of a further try. */
  countFirst(service: string, nowMs: number): void {
    this.slot(this.account(service), nowMs).requests += 1;
  }

  /** Takes leave for one further try, or tells who refused it. */
  take(service: string, sketch: SketchLeave | undefined, nowMs: number): "granted" | "sketch" | "guard" {
    const account = this.account(service);
    const slot = this.slot(account, nowMs);
    slot.wished += 1;
    const left = account.capacity - Budget.used(account);
    if (left < 2) this.onShort();
    if (sketch && sketch.taken + 1 > sketch.part) return "sketch";
    if (left < 1) return "guard";
    slot.further += 1;
    return "granted";
  }

  /** A further try that was granted at some moment reached nobody. */
  giveBack(service: string, takenMs: number): void {
    const at = Math.floor(takenMs / slotMs);
    const slot = this.account(service).slots.find((one) => one.at === at);
    if (slot && slot.further > 0) slot.further -= 1;
  }

  /** How many further tries were wished for in the last window. */
  wished(service: string, nowMs: number): number {
    const account = this.account(service);
    this.slot(account, nowMs);
    return account.slots.reduce((sum, { wished }) => sum + wished, 0);
  }

  /** Takes what the leader granted; a service that isn't named has none. What was used up in the window can't be taken away before it is over. */
  setCapacities(capacities: ReadonlyMap<string, number>, nowMs: number): void {
    for (const service of new Set([...this.accounts.keys(), ...capacities.keys()])) {
      const account = this.account(service);
      this.slot(account, nowMs);
      const granted = capacities.get(service) ?? 0;
      account.capacity = granted >= account.capacity ? granted : Math.max(granted, Math.min(account.capacity, Budget.used(account)));
    }
  }

  get capacities(): Map<string, number> {
    return new Map([...this.accounts].map(([service, { capacity }]) => [service, capacity]));
  }

  /** The most that any stretch up to now took beyond what it earned; within a slot the takes count as later than the earning before and earlier than the one after. */
  private static used(account: Account): number {
    let sum = 0;
    let most = 0;
    for (let at = account.slots.length - 1; at >= 0; at -= 1) {
      const slot = account.slots[at];
      if (!slot) break;
      most = Math.max(most, sum + slot.further);
      sum += slot.further - guardRule.earned * slot.requests;
    }
    return most;
  }

  private account(service: string): Account {
    const known = this.accounts.get(service);
    if (known) return known;
    const account = { capacity: 0, slots: [] };
    this.accounts.set(service, account);
    return account;
  }

  private slot({ slots }: Account, nowMs: number): Slot {
    const at = Math.floor(nowMs / slotMs);
    while ((slots[0]?.at ?? at) < at - heldSlots) slots.shift();
    const last = slots.at(-1);
    if (last && last.at >= at) return last;
    const slot = { at, requests: 0, further: 0, wished: 0 };
    slots.push(slot);
    return slot;
  }
}

if (import.meta.vitest) {
  const { expect, test } = import.meta.vitest;
  const { Draw } = await import("../rehearsal/draw.js");
  const { Allowance } = await import("./allowance.js");

  test("in any window the guard alone keeps the rule, whatever edges come and die, leaders change, callers stop and reports are late", () => {
    let taken = 0;
    for (let seed = 1; seed <= 40; seed += 1) {
      const random = Draw.of(seed);
      const allowance = new Allowance();
      const holders = new Set<string>();
      allowance.lead(0, `l${seed}`, holders);
      let born = 0;
      const bear = () => ({ name: `e${(born += 1)}`, number: "", budget: new Budget(), diesMs: random() * (seed % 4 === 0 ? 6000 : 120_000), grantedUntilMs: -Infinity });
      const edges = Array.from({ length: 6 }, bear);
      const requests: number[] = [];
      const furthers: number[] = [];
      const late: Array<{ atMs: number; run: () => void }> = [];
      const stopsMs = seed % 3 === 0 ? 20_000 : Infinity;
      for (let nowMs = 0; nowMs < 50_000; nowMs += 20) {
        if (nowMs % (seed % 2 === 0 ? 7000 : 25_000) === 6980) allowance.lead(nowMs, `l${seed}-${nowMs}`, new Set(holders));
        for (const one of late.splice(0).filter((item) => item.atMs > nowMs || (item.run(), false))) late.push(one);
        edges.forEach((edge, at) => {
          if (nowMs > edge.diesMs) edges[at] = bear();
          if (nowMs % 200 === 0 && random() < 0.9) {
            const report = { number: edge.number, capacities: edge.budget.capacities };
            const wished = new Map([["s", edge.budget.wished("s", nowMs)]]);
            const polled = (): { number: string; capacities: Map<string, number> } => {
              holders.add(edge.name);
              return allowance.grant(edge.name, report, wished, ["s"], nowMs);
            };
            if (random() < 0.1) late.push({ atMs: nowMs + random() * 3000, run: () => void polled() });
            else {
              const granted = polled();
              if (random() < 0.9) {
                edge.number = granted.number;
                edge.budget.setCapacities(granted.capacities, nowMs);
                edge.grantedUntilMs = nowMs + 1600;
              }
            }
          }
          if (nowMs > edge.grantedUntilMs + 5000) edge.budget.setCapacities(new Map(), nowMs);
          const isCrowded = nowMs < stopsMs && (seed % 5 !== 0 || at === 0);
          if (isCrowded && random() < 0.4) {
            edge.budget.countFirst("s", nowMs);
            requests.push(nowMs);
          }
          if (nowMs < edge.grantedUntilMs && random() < (nowMs < stopsMs ? 0.3 : 0.8) && edge.budget.take("s", undefined, nowMs) === "granted") {
            if (random() < 0.1) edge.budget.giveBack("s", nowMs);
            else furthers.push(nowMs);
          }
        });
      }
      for (let from = 0; from < 50_000; from += 100) {
        const inWindow = (times: number[]): number => times.filter((atMs) => atMs >= from && atMs < from + retryWindowMs).length;
        expect(inWindow(furthers)).toBeLessThanOrEqual(repeatRule.earned * inWindow(requests) + repeatRule.pool);
      }
      taken += furthers.length;
    }
    expect(taken).toBeGreaterThan(40 * 150);
  });

  test("the sketch decides before the guard does, and what is spent comes back once the window is over", () => {
    const budget = new Budget();
    let short = 0;
    budget.onShort = () => (short += 1);
    budget.setCapacities(new Map([["s", 3]]), 0);
    expect(budget.take("s", { part: 0.5, taken: 0 }, 0)).toBe("sketch");
    for (const expected of ["granted", "granted", "granted", "guard"]) expect(budget.take("s", { part: 9, taken: 1 }, 5000)).toBe(expected);
    expect(short).toBeGreaterThan(0);
    budget.giveBack("s", 5000);
    expect(budget.take("s", undefined, 5050)).toBe("granted");
    expect(budget.take("s", undefined, 15_000)).toBe("guard");
    expect(budget.take("s", undefined, 16_200)).toBe("granted");
    budget.setCapacities(new Map(), 16_250);
    expect(budget.capacities.get("s")).toBe(1);
  });
}
