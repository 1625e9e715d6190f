/** The decision whether a retry may be sent, by the sketch of the cluster and an exact local guard. */
import { type RetryRules, createRetryRules } from "./retry-rules.js";
import { RETRY_WINDOW_MS } from "./request-counts.js";

/** The rules unless settings say otherwise: a fifth of a service's requests and seventy more in any ten seconds. */
export const defaultRetryRules: RetryRules = createRetryRules(0.2, 70, RETRY_WINDOW_MS);

export const {
  rule: defaultRetryRule,
  sketch: defaultSketchRule,
  guard: defaultGuardRule,
} = defaultRetryRules;

const SLOT_MS = 100;
/** How much longer than the window slots are retained: clocks run at their own pace, and a lossy network may bring retries closer together than they were sent. */
const RETENTION_MARGIN_MS = 1000;
/** A capacity with less than this left is nearly used up. */
const SHORT_CAPACITY = 2;

/** What happened in one slot of time. */
interface Slot {
  /** Number of the slot since the clock's zero. */
  readonly index: number;
  requests: number;
  retries: number;
  /** Retries that were requested, whether they were allowed or not. */
  requested: number;
}

/** A service's capacity and its slots, oldest first. */
interface Account {
  capacity: number;
  readonly slots: Slot[];
}

/** What the sketch leaves this daemon of a service's retries, and what it took since. */
export interface SketchQuota {
  readonly limit: number;
  readonly used: number;
}

const slotIndex = (nowMs: number): number => Math.floor(nowMs / SLOT_MS);

/**
 * Decides on retries: by the cluster's sketch, with an exact guard behind it. The guard is a capacity that the leader allotted,
 * and what this daemon's own requests earned: in no part of the window may more be taken than both together.
 */
export class RetryBudget {
  readonly rules: RetryRules;
  private readonly accounts = new Map<string, Account>();
  private readonly retainedSlots: number;
  /** Called when a capacity is nearly used up. */
  onNearlyExhausted: () => void = () => undefined;

  constructor(rules: RetryRules = defaultRetryRules) {
    this.rules = rules;
    this.retainedSlots = Math.ceil((rules.windowMs + RETENTION_MARGIN_MS) / SLOT_MS);
  }

  /** Counts a request, which earns a part of a retry. */
  countRequest(service: string, nowMs: number): void {
    this.slot(this.account(service), nowMs).requests += 1;
  }

  /** Takes one retry out of the budget, or returns what refused it. */
  take(
    service: string,
    sketch: SketchQuota | undefined,
    nowMs: number,
  ): "granted" | "sketch" | "guard" {
    const account = this.account(service);
    const slot = this.slot(account, nowMs);
    slot.requested += 1;
    const remaining = account.capacity - this.used(account);
    if (remaining < SHORT_CAPACITY) this.onNearlyExhausted();
    if (sketch && sketch.used + 1 > sketch.limit) return "sketch";
    if (remaining < 1) return "guard";
    slot.retries += 1;
    return "granted";
  }

  /** Gives back a retry that was taken at `takenMs` and not sent. */
  refund(service: string, takenMs: number): void {
    const index = slotIndex(takenMs);
    const slot = this.account(service).slots.find((one) => one.index === index);
    if (slot && slot.retries > 0) slot.retries -= 1;
  }

  /** How many retries were requested in the last window. */
  requested(service: string, nowMs: number): number {
    const account = this.account(service);
    this.slot(account, nowMs);
    return account.slots.reduce((sum, { requested }) => sum + requested, 0);
  }

  /** Takes the capacities that the leader allotted; a service that isn't named has none. What is used in the window can't be taken away before it is over. */
  setCapacities(capacities: ReadonlyMap<string, number>, nowMs: number): void {
    for (const service of new Set([...this.accounts.keys(), ...capacities.keys()])) {
      const account = this.account(service);
      this.slot(account, nowMs);
      const allotted = capacities.get(service) ?? 0;
      account.capacity =
        allotted >= account.capacity
          ? allotted
          : Math.max(allotted, Math.min(account.capacity, this.used(account)));
    }
  }

  /** The capacities in force, by service. */
  get capacities(): Map<string, number> {
    return new Map([...this.accounts].map(([service, { capacity }]) => [service, capacity]));
  }

  /**
   * The largest number of retries that any span up to now has beyond what it earned. Within a slot, retries count as later than
   * the requests of the slots before and earlier than its own.
   */
  private used(account: Account): number {
    let sum = 0;
    let largest = 0;
    for (let index = account.slots.length - 1; index >= 0; index -= 1) {
      const slot = account.slots[index];
      if (!slot) break;
      largest = Math.max(largest, sum + slot.retries);
      sum += slot.retries - this.rules.guard.earned * slot.requests;
    }
    return largest;
  }

  private account(service: string): Account {
    const known = this.accounts.get(service);
    if (known) return known;
    const account: Account = { capacity: 0, slots: [] };
    this.accounts.set(service, account);
    return account;
  }

  /** The slot of a moment, made where it is missing; slots that are too old are dropped. */
  private slot({ slots }: Account, nowMs: number): Slot {
    const index = slotIndex(nowMs);
    while ((slots[0]?.index ?? index) < index - this.retainedSlots) slots.shift();
    const last = slots.at(-1);
    if (last && last.index >= index) return last;
    const slot: Slot = { index, requests: 0, retries: 0, requested: 0 };
    slots.push(slot);
    return slot;
  }
}
