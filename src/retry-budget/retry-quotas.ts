/** Distribution of the retry pools among the edges by the leader. */
import { defaultRetryRules, type RetryBudget } from "./retry-budget.js";
import type { RetryRules } from "./retry-rules.js";

/** Margin, beyond the lease and the window, for which an edge's capacities are assumed to be in use. */
const RETENTION_MARGIN_MS = 400;
/** Fraction of the pool that is distributed evenly. While few retries are requested it is large, so that a first burst finds capacity on every edge; otherwise it is small, so that capacity goes to the edges that request retries. */
const EVEN_FRACTION = { quiet: 0.7, busy: 0.2 };
/** A service with at most this number of requested retries counts as quiet. */
const QUIET_REQUESTS = 3;
/** An allotment is raised if it is below its target by more than this. */
const RAISE_MARGIN = 0.1;
/** An allotment is lowered if it exceeds its target times `factor` plus `amount`. */
const LOWER_MARGIN = { factor: 1.25, amount: 0.5 };

/** Capacities that an edge reports, and the number of the allotment they stem from. */
export interface QuotaReport {
  readonly number: string;
  readonly capacities: RetryBudget["capacities"];
}

/** Capacities allotted to an edge, and the number of the allotment. */
export interface QuotaAllotment {
  readonly number: string;
  readonly capacities: Map<string, number>;
}

/** An edge with an allotment. */
interface Holder {
  /** Number of the newest allotment; empty for none. */
  number: string;
  allotted: Map<string, number>;
  /** Upper bounds of the capacities that the edge may use, as far as known. */
  readonly inUse: Map<string, number>;
  requested: ReadonlyMap<string, number>;
  untilMs: number;
}

/** The leader's table of the capacity of each service's retry pool that each edge may use. */
export class RetryQuotas {
  private readonly pool: number;
  /** How long after an edge's last watch request its capacities may still be in use in some window. */
  private readonly retentionMs: number;
  private holders = new Map<string, Holder>();
  private leaderName = "";
  private lastNumber = 0;
  /** Edges that may use capacities of a previous leader's allotment and haven't reported them yet. */
  private unreportedEdges = new Set<string>();
  private settledMs = 0;

  constructor(rules: RetryRules = defaultRetryRules, leaseMs = 1600) {
    this.pool = rules.guard.pool;
    this.retentionMs = leaseMs + rules.windowMs + RETENTION_MARGIN_MS;
  }

  /** Begins a term as the leader. No allotment is raised until each edge that may use capacities has reported them or can no longer use them. */
  beginTerm(nowMs: number, leaderName: string, unreportedEdges: ReadonlySet<string>): void {
    this.holders = new Map();
    this.leaderName = leaderName;
    this.lastNumber = 0;
    this.unreportedEdges = new Set(unreportedEdges);
    this.settledMs = nowMs + this.retentionMs;
  }

  /** Whether all capacities of previous leaders' allotments are reported or expired. */
  isSettled(nowMs: number): boolean {
    return this.unreportedEdges.size === 0 || nowMs >= this.settledMs;
  }

  /** The edges among these that can no longer use any capacities. */
  expiredEdges(nowMs: number, edges: Iterable<string>): string[] {
    return [...edges].filter(
      (edge) => nowMs >= this.settledMs && (this.holders.get(edge)?.untilMs ?? 0) < nowMs,
    );
  }

  /** Allots capacities to an edge, according to the capacities that it reports and the retries that it requested in the last window. */
  allocate(
    edge: string,
    report: QuotaReport,
    requested: ReadonlyMap<string, number>,
    services: readonly string[],
    nowMs: number,
  ): QuotaAllotment {
    this.expire(nowMs);
    const holder = this.holders.get(edge) ?? this.addHolder(edge, report, nowMs);
    this.unreportedEdges.delete(edge);
    holder.untilMs = nowMs + this.retentionMs;
    holder.requested = requested;
    if (report.number === holder.number)
      for (const [service, inUse] of holder.inUse)
        holder.inUse.set(service, Math.min(inUse, report.capacities.get(service) ?? 0));
    const allotted = new Map(holder.allotted);
    for (const service of services) allotted.set(service, this.adjust(holder, service, nowMs));
    this.update(holder, allotted);
    return { number: holder.number, capacities: new Map(holder.allotted) };
  }

  private expire(nowMs: number): void {
    for (const [edge, { untilMs }] of this.holders) if (untilMs < nowMs) this.holders.delete(edge);
  }

  /** Moves an edge's capacity toward its target. It is raised at once; lowered capacity is available to others only after the edge has reported lower use. */
  private adjust(holder: Holder, service: string, nowMs: number): number {
    const inUse = holder.inUse.get(service) ?? 0;
    const target = this.target(holder, service);
    if (target > inUse + RAISE_MARGIN && this.isSettled(nowMs)) {
      const raised = inUse + Math.min(target - inUse, this.unallocated(service));
      holder.inUse.set(service, raised);
      return raised;
    }
    return inUse > target * LOWER_MARGIN.factor + LOWER_MARGIN.amount ? target : inUse;
  }

  /** Stores an allotment under a new number if it has changed. */
  private update(holder: Holder, allotted: Map<string, number>): void {
    const isChanged = [...allotted].some(
      ([service, capacity]) => holder.allotted.get(service) !== capacity,
    );
    if (!isChanged && holder.number !== "") return;
    this.lastNumber += 1;
    holder.number = `${this.leaderName}/${this.lastNumber}`;
    holder.allotted = allotted;
  }

  /** Adds an edge; an edge known to the previous leader keeps the capacities that it reports. */
  private addHolder(edge: string, report: QuotaReport, nowMs: number): Holder {
    const inUse =
      nowMs < this.settledMs && this.unreportedEdges.has(edge)
        ? new Map(report.capacities)
        : new Map<string, number>();
    const holder: Holder = {
      number: "",
      allotted: new Map(inUse),
      inUse,
      requested: new Map(),
      untilMs: 0,
    };
    this.holders.set(edge, holder);
    return holder;
  }

  /** An edge's target share of a pool: an even part, plus a part in proportion to the retries that it requests. */
  private target(holder: Holder, service: string): number {
    const total = [...this.holders.values()].reduce(
      (sum, { requested }) => sum + (requested.get(service) ?? 0),
      0,
    );
    const isBusy = total > QUIET_REQUESTS;
    const evenFraction = isBusy ? EVEN_FRACTION.busy : EVEN_FRACTION.quiet;
    const byRequests = isBusy
      ? ((1 - evenFraction) * (holder.requested.get(service) ?? 0)) / total
      : 0;
    return this.pool * (evenFraction / this.holders.size + byRequests);
  }

  /** Capacity of a pool that no edge may use. */
  private unallocated(service: string): number {
    const inUse = [...this.holders.values()].reduce(
      (sum, holder) => sum + (holder.inUse.get(service) ?? 0),
      0,
    );
    return Math.max(0, this.pool - inUse);
  }
}
