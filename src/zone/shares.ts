import type { Contract } from "../record/book.js";

/** What one daemon sees of one back end. */
interface Sight {
  latencyMs: number;
  breakdownRate: number;
  inHand: number;
  avoidUntilMs: number;
  streak: number;
  share: number;
  sinceMs: number;
  tries: number;
  steeredMs: number;
  why: string;
}

const warmUpMs = 10_000;
const leastWarmth = 0.05;
const steerMs = 500;
const leastShare = 0.1;
const farFactor = 0.4;
/** How often the share alone decides, so that a back end that got better is seen again. */
const lookAgain = 0.05;

/** How much of a service's traffic each back end takes from this daemon, steered toward the goals. */
export class Shares {
  private readonly zone: string;
  private readonly random: () => number;
  private readonly sights = new Map<string, Sight>();

  constructor(zone: string, random: () => number) {
    this.zone = zone;
    this.random = random;
  }

  /** Chooses a back end: of two drawn by share, the one that should be done sooner. */
  pick(contracts: readonly Contract[], tried: ReadonlySet<string>, inHandLimit: number, nowMs: number): Contract | undefined {
    const open = contracts.filter((contract) => !tried.has(contract.address) && this.sight(contract, nowMs).inHand < inHandLimit);
    const well = open.filter((contract) => this.sight(contract, nowMs).avoidUntilMs <= nowMs);
    const from = well.length > 0 ? well : open;
    const first = this.draw(from, nowMs);
    const second = this.draw(
      from.filter((contract) => contract !== first),
      nowMs,
    );
    if (!first || !second || this.random() < lookAgain) return first;
    return this.costMs(first, nowMs) <= this.costMs(second, nowMs) ? first : second;
  }

  began(contract: Contract, nowMs: number): void {
    const sight = this.sight(contract, nowMs);
    sight.inHand += 1;
    sight.tries += 1;
  }

  /** A try was not sent after all, for reasons that aren't the back end's. */
  withdrew(contract: Contract, nowMs: number): void {
    const sight = this.sight(contract, nowMs);
    sight.inHand = Math.max(0, sight.inHand - 1);
  }

  /** Learns from how a try ended: whole within some time, or not. */
  ended(contract: Contract, tookMs: number, whole: boolean, goalMs: number, nowMs: number): void {
    const sight = this.sight(contract, nowMs);
    sight.inHand = Math.max(0, sight.inHand - 1);
    sight.latencyMs += (tookMs - sight.latencyMs) * 0.2;
    sight.breakdownRate += ((whole ? 0 : 1) - sight.breakdownRate) * 0.1;
    sight.streak = whole ? 0 : sight.streak + 1;
    if (!whole && sight.streak >= 2) sight.avoidUntilMs = nowMs + Math.min(5000, 250 * 2 ** Math.min(sight.streak, 6)) * (0.75 + this.random() * 0.5);
    if (nowMs - sight.steeredMs < steerMs) return;
    sight.steeredMs = nowMs;
    const misses = sight.latencyMs > goalMs || sight.breakdownRate > 0.2;
    const share = Math.min(1, Math.max(leastShare, sight.share * (misses ? 0.85 : 1.05)));
    if (share !== sight.share) sight.why = misses ? (sight.latencyMs > goalMs ? `slower (${Math.round(sight.latencyMs)} ms) than the goal of ${goalMs} ms` : `${Math.round(sight.breakdownRate * 100)}% of its tries break down`) : "meets its goal again";
    sight.share = share;
  }

  /** Why each back end has its share, a line each. */
  explain(contracts: readonly Contract[], nowMs: number): Array<{ address: string; zone: string; share: number; latencyMs: number; inHand: number; tries: number; why: string }> {
    return contracts.map((contract) => {
      const sight = this.sight(contract, nowMs);
      const reasons = [sight.why];
      if (contract.zone !== this.zone) reasons.push("in another zone");
      if (this.warmth(contract, sight, nowMs) < 1) reasons.push("still warming up");
      if (sight.avoidUntilMs > nowMs) reasons.push(`avoided after ${sight.streak} breakdowns in a row`);
      const why = reasons.filter(Boolean).join("; ") || "meets its goal";
      return { address: contract.address, zone: contract.zone, share: Number(this.weight(contract, nowMs).toFixed(3)), latencyMs: Math.round(sight.latencyMs), inHand: sight.inHand, tries: sight.tries, why };
    });
  }

  /** Learns which back ends there are: those that are new begin to warm up now. */
  know(contracts: readonly Contract[], nowMs: number): void {
    for (const contract of contracts) this.sight(contract, nowMs);
    this.keepOnly(contracts);
  }

  /** Lets go of back ends that are no longer known. */
  keepOnly(contracts: Iterable<Contract>): void {
    const known = new Set([...contracts].map((contract) => this.key(contract)));
    for (const key of this.sights.keys()) if (!known.has(key)) this.sights.delete(key);
  }

  private key(contract: Contract): string {
    return `${contract.address} ${contract.number}`;
  }

  private sight(contract: Contract, nowMs: number): Sight {
    const key = this.key(contract);
    const known = this.sights.get(key);
    if (known) return known;
    const sight = { latencyMs: 20, breakdownRate: 0, inHand: 0, avoidUntilMs: 0, streak: 0, share: 1, sinceMs: nowMs, tries: 0, steeredMs: nowMs, why: "" };
    this.sights.set(key, sight);
    return sight;
  }

  private warmth(contract: Contract, sight: Sight, nowMs: number): number {
    const sinceMs = nowMs - sight.sinceMs;
    if (contract.instance === "") return Math.min(1, Math.max(leastWarmth, contract.warmth, sinceMs / warmUpMs));
    return contract.warmMs <= 0 ? 1 : Math.min(1, Math.max(leastWarmth, sinceMs / contract.warmMs));
  }

  private weight(contract: Contract, nowMs: number): number {
    const sight = this.sight(contract, nowMs);
    return sight.share * this.warmth(contract, sight, nowMs) * (contract.zone === this.zone ? 1 : farFactor);
  }

  private costMs(contract: Contract, nowMs: number): number {
    const sight = this.sight(contract, nowMs);
    return ((sight.latencyMs + 1) * (sight.inHand + 1)) / this.weight(contract, nowMs);
  }

  private draw(contracts: readonly Contract[], nowMs: number): Contract | undefined {
    const weights = contracts.map((contract) => this.weight(contract, nowMs));
    let left = this.random() * weights.reduce((sum, weight) => sum + weight, 0);
    for (const [at, contract] of contracts.entries()) {
      left -= weights[at] ?? 0;
      if (left <= 0) return contract;
    }
    return contracts.at(-1);
  }
}
