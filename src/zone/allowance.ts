import { budgetRule, type Budget } from "./budget.js";
import { retryWindowMs } from "./counts.js";

/** How long after a grant an edge that fell silent may still use what it was granted, and then some. */
const keepMs = 2000 + retryWindowMs;

interface Holder {
  capacities: Map<string, number>;
  wished: Map<string, number>;
  untilMs: number;
}

/** The leader's table of which edge holds how much of each service's pool of further tries. */
export class Allowance {
  private holders = new Map<string, Holder>();
  private aside: Array<{ service: string; amount: number; untilMs: number }> = [];
  private settledMs = Infinity;

  /** A new leader grants nothing new until all that its forerunner granted has shown itself or expired; the first of all had none. */
  lead(nowMs: number, isFirst: boolean): void {
    this.holders = new Map();
    this.aside = [];
    this.settledMs = isFirst ? nowMs : nowMs + keepMs;
  }

  /** The capacities of one edge, given what it holds and how many further tries it wished for lately. */
  grant(edge: string, held: Budget["capacities"], wished: ReadonlyMap<string, number>, services: readonly string[], nowMs: number): Map<string, number> {
    this.expire(nowMs);
    const holder = this.holders.get(edge) ?? { capacities: nowMs < this.settledMs ? new Map(held) : new Map<string, number>(), wished: new Map(), untilMs: 0 };
    holder.untilMs = nowMs + keepMs;
    holder.wished = new Map(wished);
    this.holders.set(edge, holder);
    if (nowMs < this.settledMs) return new Map(holder.capacities);
    for (const service of services) {
      const capacity = holder.capacities.get(service) ?? 0;
      const target = this.target(holder, service);
      if (target > capacity) holder.capacities.set(service, capacity + Math.min(target - capacity, this.free(service)));
      else if (capacity > target * 1.5 + 1) {
        holder.capacities.set(service, target);
        this.aside.push({ service, amount: capacity - target, untilMs: nowMs + keepMs });
      }
    }
    return new Map(holder.capacities);
  }

  private target(holder: Holder, service: string): number {
    const weightOf = (one: Holder): number => 5 + (one.wished.get(service) ?? 0);
    const sum = [...this.holders.values()].reduce((total, one) => total + weightOf(one), 0);
    return (budgetRule.pool * weightOf(holder)) / sum;
  }

  private free(service: string): number {
    const held = [...this.holders.values()].reduce((sum, { capacities }) => sum + (capacities.get(service) ?? 0), 0);
    const aside = this.aside.reduce((sum, one) => sum + (one.service === service ? one.amount : 0), 0);
    return Math.max(0, budgetRule.pool - held - aside);
  }

  private expire(nowMs: number): void {
    for (const [edge, { untilMs }] of this.holders) if (untilMs < nowMs) this.holders.delete(edge);
    this.aside = this.aside.filter(({ untilMs }) => untilMs >= nowMs);
  }
}
