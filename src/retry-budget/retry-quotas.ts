import { defaultRetryRules, type RetryBudget } from "./retry-budget.js";
import type { RetryRules } from "./retry-rules.js";

/** How much longer than a grant to serve and the window what an edge held is taken to count. */
const marginMs = 400;
/** Which part of the pool is parted evenly: much while nobody wishes, so that a first burst meets it; else little, so that it goes where it is wished for. */
const evenPart = { quiet: 0.7, wished: 0.2 };
const fewWishes = 3;

/** What an edge says that it holds, and under which grant. */
export interface QuotaReport {
  readonly number: string;
  readonly capacities: RetryBudget["capacities"];
}

interface Holder {
  /** The number of the newest grant, and what it said. */
  number: string;
  told: Map<string, number>;
  /** The most that the edge may hold, as far as is known here. */
  held: Map<string, number>;
  wished: ReadonlyMap<string, number>;
  untilMs: number;
}

/** The leader's table of which edge holds how much of each service's pool of further tries. */
export class RetryQuotas {
  private readonly pool: number;
  /** How long after an edge was last heard what it holds may still count in some window. */
  private readonly keepMs: number;
  private holders = new Map<string, Holder>();
  private leaderName = "";
  private grants = 0;
  private expected = new Set<string>();
  private settledMs = 0;

  constructor(rules: RetryRules = defaultRetryRules, leaseMs = 1600) {
    this.pool = rules.guard.pool;
    this.keepMs = leaseMs + rules.windowMs + marginMs;
  }

  /** A new leader grants nothing new until every edge that may hold something has shown itself, or what it held is past. */
  lead(nowMs: number, leaderName: string, expected: ReadonlySet<string>): void {
    this.holders = new Map();
    this.leaderName = leaderName;
    this.grants = 0;
    this.expected = new Set(expected);
    this.settledMs = nowMs + this.keepMs;
  }

  /** Whether all that a forerunner granted is known here or past. */
  isSettled(nowMs: number): boolean {
    return this.expected.size === 0 || nowMs >= this.settledMs;
  }

  /** The edges that were expected or heard and can hold nothing any more. */
  past(nowMs: number, known: Iterable<string>): string[] {
    return [...known].filter(
      (edge) => nowMs >= this.settledMs && (this.holders.get(edge)?.untilMs ?? 0) < nowMs,
    );
  }

  /** The capacities of one edge, given what it holds and how many further tries it wished for lately. */
  grant(
    edge: string,
    report: QuotaReport,
    wished: ReadonlyMap<string, number>,
    services: readonly string[],
    nowMs: number,
  ): { number: string; capacities: Map<string, number> } {
    for (const [name, { untilMs }] of this.holders) if (untilMs < nowMs) this.holders.delete(name);
    const holder = this.holders.get(edge) ?? this.adopt(edge, report, nowMs);
    this.expected.delete(edge);
    holder.untilMs = nowMs + this.keepMs;
    holder.wished = wished;
    if (report.number === holder.number)
      for (const [service, held] of holder.held)
        holder.held.set(service, Math.min(held, report.capacities.get(service) ?? 0));
    const told = new Map(holder.told);
    for (const service of services) {
      const held = holder.held.get(service) ?? 0;
      const target = this.target(holder, service);
      if (target > held + 0.1 && this.isSettled(nowMs)) {
        const raised = held + Math.min(target - held, this.free(service));
        holder.held.set(service, raised);
        told.set(service, raised);
      } else told.set(service, held > target * 1.25 + 0.5 ? target : held);
    }
    const changed = [...told].some(([service, capacity]) => holder.told.get(service) !== capacity);
    if (changed || holder.number === "") {
      this.grants += 1;
      holder.number = `${this.leaderName}/${this.grants}`;
      holder.told = told;
    }
    return { number: holder.number, capacities: new Map(holder.told) };
  }

  private adopt(edge: string, report: QuotaReport, nowMs: number): Holder {
    const held =
      nowMs < this.settledMs && this.expected.has(edge)
        ? new Map(report.capacities)
        : new Map<string, number>();
    const holder: Holder = { number: "", told: new Map(held), held, wished: new Map(), untilMs: 0 };
    this.holders.set(edge, holder);
    return holder;
  }

  private target(holder: Holder, service: string): number {
    const all = [...this.holders.values()].reduce(
      (sum, { wished }) => sum + (wished.get(service) ?? 0),
      0,
    );
    const even = all > fewWishes ? evenPart.wished : evenPart.quiet;
    const byWish = all > fewWishes ? ((1 - even) * (holder.wished.get(service) ?? 0)) / all : 0;
    return this.pool * (even / this.holders.size + byWish);
  }

  private free(service: string): number {
    return Math.max(
      0,
      this.pool -
        [...this.holders.values()].reduce((sum, { held }) => sum + (held.get(service) ?? 0), 0),
    );
  }
}
