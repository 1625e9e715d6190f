/** The retry budget: decides whether a retry may be sent, by the cluster's sketch and an exact local guard. */
import { type RetryRules, createRetryRules } from "./retry-rules.js";
import { RETRY_WINDOW_MS } from "./request-counts.js";

/** Default rules: at most 20% of a service's requests and 70 more retries in any 10 s. */
export const defaultRetryRules: RetryRules = createRetryRules(0.2, 70, RETRY_WINDOW_MS);

export const {
  rule: defaultRetryRule,
  sketch: defaultSketchRule,
  guard: defaultGuardRule,
} = defaultRetryRules;

/** Length of a slot. */
const SLOT_MS = 100;
/** Retention of slots beyond the window, since clock rates differ and a lossy network may deliver retries closer together than they were sent. */
const RETENTION_MARGIN_MS = 1000;
/** A capacity with less than this remaining is nearly exhausted. */
const LOW_CAPACITY = 2;

/** Counts of one time slot. */
interface Slot {
  /** Index of the slot since the clock's zero. */
  readonly index: number;
  requests: number;
  retries: number;
  /** Requested retries, both granted and refused. */
  requested: number;
}

/** A service's capacity and its slots, oldest first. */
interface Account {
  capacity: number;
  readonly slots: Slot[];
}

/** This daemon's quota of a service's retries by the sketch, and the number used since. */
export interface SketchQuota {
  readonly limit: number;
  readonly used: number;
}

const slotIndex = (nowMs: number): number => Math.floor(nowMs / SLOT_MS);

/**
 * Decides on retries by the cluster's approximate sketch, backed by an exact guard. The guard allows a capacity that the leader
 * allotted, plus what this daemon's own requests earned: in no part of the window may more retries be taken than this sum.
 */
export class RetryBudget {
  readonly rules: RetryRules;
  private readonly accounts = new Map<string, Account>();
  private readonly retainedSlots: number;
  /** Called when a capacity is nearly exhausted. */
  onNearlyExhausted: () => void = () => undefined;

  constructor(rules: RetryRules = defaultRetryRules) {
    this.rules = rules;
    this.retainedSlots = Math.ceil((rules.windowMs + RETENTION_MARGIN_MS) / SLOT_MS);
  }

  /** Counts a request, which earns a fraction of a retry. */
  countRequest(service: string, nowMs: number): void {
    this.slot(this.account(service), nowMs).requests += 1;
  }

  /** Takes one retry from the budget, or returns whether the sketch or the guard refused it. */
  take(
    service: string,
    sketch: SketchQuota | undefined,
    nowMs: number,
  ): "granted" | "sketch" | "guard" {
    const account = this.account(service);
    const slot = this.slot(account, nowMs);
    slot.requested += 1;
    const remaining = account.capacity - this.used(account);
    if (remaining < LOW_CAPACITY) this.onNearlyExhausted();
    if (sketch && sketch.used + 1 > sketch.limit) return "sketch";
    if (remaining < 1) return "guard";
    slot.retries += 1;
    return "granted";
  }

  /** Returns a retry to the budget that was taken at `takenMs` and not sent. */
  refund(service: string, takenMs: number): void {
    const index = slotIndex(takenMs);
    const slot = this.account(service).slots.find((candidate) => candidate.index === index);
    if (slot && slot.retries > 0) slot.retries -= 1;
  }

  /** Number of retries of a service requested in the last window. */
  requested(service: string, nowMs: number): number {
    const account = this.account(service);
    this.slot(account, nowMs);
    return account.slots.reduce((sum, { requested }) => sum + requested, 0);
  }

  /** Replaces the capacities with the leader's allotment; a service that is not in it has none. Capacity used in the window remains until the window has passed. */
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

  /** Current capacities by service. */
  get capacities(): Map<string, number> {
    return new Map([...this.accounts].map(([service, { capacity }]) => [service, capacity]));
  }

  /**
   * The capacity in use: the maximum, over all spans that end now, of the span's retries minus what its requests earned. A slot's
   * retries count as later than the requests of earlier slots and as earlier than its own requests.
   */
  private used(account: Account): number {
    let sum = 0;
    let maxUsed = 0;
    for (let index = account.slots.length - 1; index >= 0; index -= 1) {
      const slot = account.slots[index];
      if (!slot) break;
      maxUsed = Math.max(maxUsed, sum + slot.retries);
      sum += slot.retries - this.rules.guard.earned * slot.requests;
    }
    return maxUsed;
  }

  private account(service: string): Account {
    const known = this.accounts.get(service);
    if (known) return known;
    const account: Account = { capacity: 0, slots: [] };
    this.accounts.set(service, account);
    return account;
  }

  /** The slot at `nowMs`, created if missing; drops expired slots. */
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
