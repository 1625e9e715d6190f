import { RetryRules } from "./retry-rules.js";
import { RETRY_WINDOW_MS } from "./request-counts.js";

/** The rules unless settings say otherwise: a fifth of a service's requests and seventy more in any ten seconds. */
export const defaultRetryRules: RetryRules = RetryRules.of(0.2, 70, RETRY_WINDOW_MS);

export const {
  rule: defaultRetryRule,
  sketch: defaultSketchRule,
  guard: defaultStrictRule,
} = defaultRetryRules;

const slotMs = 100;

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
export interface SketchQuota {
  readonly part: number;
  readonly taken: number;
}

/**
 * Decides on further tries: by the fleet's sketch, with an exact guard behind it. The guard is a capacity that the leader
 * granted, and what this daemon's own requests earned: in no stretch of the window may more be taken than both together.
 */
export class RetryBudget {
  readonly rules: RetryRules;
  private readonly accounts = new Map<string, Account>();
  /** Longer than the window, since clocks run at their own pace and a lossy network brings tries closer together than they were sent. */
  private readonly heldSlots: number;
  /** Hears that a capacity is nearly spent. */
  onShort: () => void = () => undefined;

  constructor(rules: RetryRules = defaultRetryRules) {
    this.rules = rules;
    this.heldSlots = Math.ceil((rules.windowMs + 1000) / slotMs);
  }

  /** Counts a request that was taken, which earns a part of a further try. */
  countFirst(service: string, nowMs: number): void {
    this.slot(this.account(service), nowMs).requests += 1;
  }

  /** Takes leave for one further try, or tells who refused it. */
  take(
    service: string,
    sketch: SketchQuota | undefined,
    nowMs: number,
  ): "granted" | "sketch" | "guard" {
    const account = this.account(service);
    const slot = this.slot(account, nowMs);
    slot.wished += 1;
    const left = account.capacity - this.used(account);
    if (left < 2) this.onShort();
    if (sketch && sketch.taken + 1 > sketch.part) return "sketch";
    if (left < 1) return "guard";
    slot.further += 1;
    return "granted";
  }

  /** A further try that was granted at some moment reached nobody. */
  refund(service: string, takenMs: number): void {
    const at = Math.floor(takenMs / slotMs);
    const slot = this.account(service).slots.find((one) => one.at === at);
    if (slot && slot.further > 0) slot.further -= 1;
  }

  /** How many further tries were wished for in the last window. */
  requested(service: string, nowMs: number): number {
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
      account.capacity =
        granted >= account.capacity
          ? granted
          : Math.max(granted, Math.min(account.capacity, this.used(account)));
    }
  }

  get capacities(): Map<string, number> {
    return new Map([...this.accounts].map(([service, { capacity }]) => [service, capacity]));
  }

  /** The most that any stretch up to now took beyond what it earned; within a slot the takes count as later than the earning before and earlier than the one after. */
  private used(account: Account): number {
    let sum = 0;
    let most = 0;
    for (let at = account.slots.length - 1; at >= 0; at -= 1) {
      const slot = account.slots[at];
      if (!slot) break;
      most = Math.max(most, sum + slot.further);
      sum += slot.further - this.rules.guard.earned * slot.requests;
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
    while ((slots[0]?.at ?? at) < at - this.heldSlots) slots.shift();
    const last = slots.at(-1);
    if (last && last.at >= at) return last;
    const slot = { at, requests: 0, further: 0, wished: 0 };
    slots.push(slot);
    return slot;
  }
}
