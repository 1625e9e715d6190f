/** The leader's distribution of the retry pools among the edges. */
import { defaultRetryRules, type RetryBudget } from "./retry-budget.js";
import type { RetryRules } from "./retry-rules.js";

/** How much longer than its lease and the window an edge's capacities are assumed to be in use. */
const RETENTION_MARGIN_MS = 400;
/** Which part of the pool is distributed evenly: most of it while few retries are requested, so that a first burst finds some; otherwise little, so that it goes where it is requested. */
const EVEN_FRACTION = { quiet: 0.7, busy: 0.2 };
/** Up to how many requested retries a service is quiet. */
const QUIET_REQUESTS = 3;
/** An allotment is raised where it is below the target by more than this. */
const RAISE_MARGIN = 0.1;
/** An allotment is lowered where it is above the target by more than this factor and amount. */
const LOWER_MARGIN = { factor: 1.25, amount: 0.5 };

/** The capacities that an edge reports, and the allotment that they are from. */
export interface QuotaReport {
  readonly number: string;
  readonly capacities: RetryBudget["capacities"];
}

/** The capacities that are allotted to an edge. */
export interface QuotaAllotment {
  readonly number: string;
  readonly capacities: Map<string, number>;
}

interface Holder {
  /** The number of the newest allotment; empty for none. */
  number: string;
  allotted: Map<string, number>;
  /** The largest capacities that the edge may use, as far as is known here. */
  readonly inUse: Map<string, number>;
  requested: ReadonlyMap<string, number>;
  untilMs: number;
}

/** The leader's table of which edge may use how much of each service's retry pool. */
export class RetryQuotas {
  private readonly pool: number;
  /** How long after an edge's last request its capacities may still count in some window. */
  private readonly retentionMs: number;
  private holders = new Map<string, Holder>();
  private leaderName = "";
  private lastNumber = 0;
  /** Edges that may use capacities which a former leader allotted, and haven't reported yet. */
  private unreportedEdges = new Set<string>();
  private settledMs = 0;

  constructor(rules: RetryRules = defaultRetryRules, leaseMs = 1600) {
    this.pool = rules.guard.pool;
    this.retentionMs = leaseMs + rules.windowMs + RETENTION_MARGIN_MS;
  }

  /** Begins a term as the leader: nothing is raised until each edge that may use capacities has reported them or can't use them any more. */
  beginTerm(nowMs: number, leaderName: string, unreportedEdges: ReadonlySet<string>): void {
    this.holders = new Map();
    this.leaderName = leaderName;
    this.lastNumber = 0;
    this.unreportedEdges = new Set(unreportedEdges);
    this.settledMs = nowMs + this.retentionMs;
  }

  /** Whether all that a former leader allotted is known here or out of use. */
  isSettled(nowMs: number): boolean {
    return this.unreportedEdges.size === 0 || nowMs >= this.settledMs;
  }

  /** Those of some edges that can't use any capacities any more. */
  expiredEdges(nowMs: number, edges: Iterable<string>): string[] {
    return [...edges].filter(
      (edge) => nowMs >= this.settledMs && (this.holders.get(edge)?.untilMs ?? 0) < nowMs,
    );
  }

  /** Allots capacities to an edge, by those it reports and by how many retries were requested there lately. */
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

  /** Moves an edge's capacity toward its target: raised at once, lowered once the edge has reported that it uses less. */
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

  /** Gives a changed allotment a new number. */
  private update(holder: Holder, allotted: Map<string, number>): void {
    const isChanged = [...allotted].some(
      ([service, capacity]) => holder.allotted.get(service) !== capacity,
    );
    if (!isChanged && holder.number !== "") return;
    this.lastNumber += 1;
    holder.number = `${this.leaderName}/${this.lastNumber}`;
    holder.allotted = allotted;
  }

  /** Adds an edge; one that a former leader knew keeps the capacities that it reports. */
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

  /** What an edge should have of a pool: an even part, and a part by what it requests. */
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

  /** What no edge may use of a pool. */
  private unallocated(service: string): number {
    const inUse = [...this.holders.values()].reduce(
      (sum, holder) => sum + (holder.inUse.get(service) ?? 0),
      0,
    );
    return Math.max(0, this.pool - inUse);
  }
}
