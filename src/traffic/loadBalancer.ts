import type { Contract } from "../record/book.js";

/** What one daemon sees of one back end. */
interface BackendStats {
  latencyMs: number;
  /** How long it takes against what its requests' routes usually take; 1 where it is as fast as the others. */
  pace: number;
  failureRate: number;
  inHand: number;
  /** Since when nothing has ended there though something is in hand, and how long that is nothing unusual. */
  quietSinceMs: number;
  patientMs: number;
  avoidUntilMs: number;
  failuresInARow: number;
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
/** More than one failure in ten, one after the other. */
const failingRate = 0.15;
/** What a KiB of a response costs on its way from another zone, as if it came later. */
const farKibMs = 2;
/** How large a route's responses are taken to be until one was seen. */
const unseenBytes = 32 * 1024;
const knownRoutes = 4096;
/** How much longer than usual a back end may be silent with work in hand. */
const patience = { times: 3, spareMs: 150, unseenMs: 500 };
const paceRate = 0.2;
const routeRate = 0.05;
/** How often the share alone decides, so that a back end that got better is seen again. */
const lookAgain = 0.05;

/** What one daemon sees of one route's requests, whichever back end has them. */
interface RouteStats {
  tookMs: number;
  bytes: number;
}

/** One try that has ended, as shares learn from it. */
export interface TryOutcome {
  readonly tookMs: number;
  readonly isWhole: boolean;
  readonly goalMs: number;
  readonly route?: string;
  /** How large the response was, where there was a whole one. */
  readonly bytes?: number | undefined;
}

/** How much of a service's traffic each back end takes from this daemon, steered toward the goals. */
export class LoadBalancer {
  private readonly zone: string;
  private readonly random: () => number;
  private readonly backendStats = new Map<string, BackendStats>();
  private known = new WeakMap<Contract, BackendStats>();
  private readonly routeStats = new Map<string, RouteStats>();

  constructor(zone: string, random: () => number) {
    this.zone = zone;
    this.random = random;
  }

  /** Chooses a back end: of two drawn by share, the one that should be done sooner. */
  pick(
    contracts: readonly Contract[],
    tried: ReadonlySet<string>,
    inHandLimit: number,
    nowMs: number,
    route = "",
  ): Contract | undefined {
    const open = contracts.filter(
      (contract) =>
        !tried.has(contract.address) && this.sight(contract, nowMs).inHand < inHandLimit,
    );
    const well = open.filter((contract) => this.isWell(this.sight(contract, nowMs), nowMs));
    const from = well.length > 0 ? well : open;
    const weights = from.map((contract) => this.weight(contract, nowMs));
    const first = this.draw(from, weights, undefined);
    const second = this.draw(from, weights, first);
    if (!first || !second || this.random() < lookAgain) return first;
    const usual = this.routeStats.get(route);
    return this.costMs(first, usual, nowMs) <= this.costMs(second, usual, nowMs) ? first : second;
  }

  began(contract: Contract, nowMs: number, route = ""): void {
    const statsOf = this.sight(contract, nowMs);
    const patientMs =
      patience.times * (this.routeStats.get(route)?.tookMs ?? patience.unseenMs) + patience.spareMs;
    statsOf.patientMs = statsOf.inHand === 0 ? patientMs : Math.max(statsOf.patientMs, patientMs);
    if (statsOf.inHand === 0) statsOf.quietSinceMs = nowMs;
    statsOf.inHand += 1;
    statsOf.tries += 1;
  }

  /** A try was not sent after all, for reasons that aren't the back end's. */
  withdrew(contract: Contract, nowMs: number): void {
    const sight = this.sight(contract, nowMs);
    sight.inHand = Math.max(0, sight.inHand - 1);
  }

  /** Learns from how a try ended: whole within some time, or not. */
  ended(
    contract: Contract,
    { tookMs, isWhole: whole, goalMs, route = "", bytes }: TryOutcome,
    nowMs: number,
  ): void {
    const sight = this.sight(contract, nowMs);
    sight.inHand = Math.max(0, sight.inHand - 1);
    sight.quietSinceMs = nowMs;
    const usual = this.routeStatsOf(route, tookMs);
    if (whole) {
      usual.tookMs += (tookMs - usual.tookMs) * routeRate;
      if (bytes !== undefined)
        usual.bytes += (bytes - usual.bytes) * (usual.bytes === unseenBytes ? 1 : routeRate);
    }
    sight.pace += (tookMs / Math.max(1, usual.tookMs) - sight.pace) * paceRate;
    sight.latencyMs += (tookMs - sight.latencyMs) * 0.2;
    sight.failureRate += ((whole ? 0 : 1) - sight.failureRate) * 0.1;
    sight.failuresInARow = whole ? 0 : sight.failuresInARow + 1;
    if (!whole && sight.failuresInARow >= 2)
      sight.avoidUntilMs =
        nowMs +
        Math.min(5000, 250 * 2 ** Math.min(sight.failuresInARow, 6)) * (0.75 + this.random() * 0.5);
    if (nowMs - sight.steeredMs < steerMs) return;
    sight.steeredMs = nowMs;
    const misses = sight.latencyMs > goalMs || sight.failureRate > 0.2;
    const share = Math.min(1, Math.max(leastShare, sight.share * (misses ? 0.85 : 1.05)));
    if (share !== sight.share)
      sight.why = misses
        ? sight.latencyMs > goalMs
          ? `slower (${Math.round(sight.latencyMs)} ms) than the goal of ${goalMs} ms`
          : `${Math.round(sight.failureRate * 100)}% of its tries break down`
        : "meets its goal again";
    sight.share = share;
  }

  /** Whether nothing speaks against a back end: no failures in a row, and no silence that is longer than its requests usually take. */
  private isWell(
    { avoidUntilMs, inHand, quietSinceMs, patientMs }: BackendStats,
    nowMs: number,
  ): boolean {
    return avoidUntilMs <= nowMs && (inHand === 0 || nowMs - quietSinceMs <= patientMs);
  }

  /** Whether a back end fails so often that its failures are its own rather than its requests'. */
  isFailing(contract: Contract): boolean {
    return (this.backendStats.get(this.key(contract))?.failureRate ?? 0) > failingRate;
  }

  /** Why each back end has its share, a line each. */
  explain(
    contracts: readonly Contract[],
    nowMs: number,
  ): Array<{
    address: string;
    zone: string;
    share: number;
    latencyMs: number;
    inHand: number;
    tries: number;
    why: string;
  }> {
    return contracts.map((contract) => {
      const sight = this.sight(contract, nowMs);
      const reasons = [sight.why];
      if (contract.zone !== this.zone) reasons.push("in another zone");
      if (this.warmth(contract, sight, nowMs) < 1) reasons.push("still warming up");
      if (sight.avoidUntilMs > nowMs)
        reasons.push(`avoided after ${sight.failuresInARow} breakdowns in a row`);
      const why = reasons.filter(Boolean).join("; ") || "meets its goal";
      return {
        address: contract.address,
        zone: contract.zone,
        share: Number(this.weight(contract, nowMs).toFixed(3)),
        latencyMs: Math.round(sight.latencyMs),
        inHand: sight.inHand,
        tries: sight.tries,
        why,
      };
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
    for (const key of this.backendStats.keys()) if (!known.has(key)) this.backendStats.delete(key);
    this.known = new WeakMap();
  }

  private key(contract: Contract): string {
    return `${contract.address} ${contract.number}`;
  }

  private sight(contract: Contract, nowMs: number): BackendStats {
    const seen = this.known.get(contract);
    if (seen) return seen;
    const key = this.key(contract);
    const sight = this.backendStats.get(key) ?? {
      latencyMs: 20,
      pace: 1,
      failureRate: 0,
      inHand: 0,
      quietSinceMs: 0,
      patientMs: 0,
      avoidUntilMs: 0,
      failuresInARow: 0,
      share: 1,
      sinceMs: nowMs,
      tries: 0,
      steeredMs: nowMs,
      why: "",
    };
    this.backendStats.set(key, sight);
    this.known.set(contract, sight);
    return sight;
  }

  private routeStatsOf(route: string, tookMs: number): RouteStats {
    const seen = this.routeStats.get(route);
    if (seen) return seen;
    if (this.routeStats.size >= knownRoutes) this.routeStats.clear();
    const usual = { tookMs, bytes: unseenBytes };
    this.routeStats.set(route, usual);
    return usual;
  }

  private warmth(contract: Contract, sight: BackendStats, nowMs: number): number {
    const sinceMs = nowMs - sight.sinceMs;
    if (contract.instance === "")
      return Math.min(1, Math.max(leastWarmth, contract.warmth, sinceMs / warmUpMs));
    return contract.warmMs <= 0 ? 1 : Math.min(1, Math.max(leastWarmth, sinceMs / contract.warmMs));
  }

  private weight(contract: Contract, nowMs: number): number {
    const sight = this.sight(contract, nowMs);
    return sight.share * this.warmth(contract, sight, nowMs);
  }

  /** When a request would be done there, as far as is seen here; a far one costs what its response's way costs. */
  private costMs(contract: Contract, usual: RouteStats | undefined, nowMs: number): number {
    const sight = this.sight(contract, nowMs);
    const queued = 1 + sight.inHand / Math.max(1, contract.capacity);
    const farMs =
      contract.zone === this.zone ? 0 : ((usual?.bytes ?? unseenBytes) / 1024) * farKibMs;
    return (
      ((usual?.tookMs ?? sight.latencyMs) * sight.pace * queued) / this.weight(contract, nowMs) +
      farMs
    );
  }

  /** One by its weight, another than `but`. */
  private draw(
    contracts: readonly Contract[],
    weights: readonly number[],
    but: Contract | undefined,
  ): Contract | undefined {
    let sum = 0;
    for (const [at, weight] of weights.entries()) if (contracts[at] !== but) sum += weight;
    let left = this.random() * sum;
    let last: Contract | undefined;
    for (const [at, contract] of contracts.entries()) {
      if (contract === but) continue;
      last = contract;
      left -= weights[at] ?? 0;
      if (left <= 0) break;
    }
    return last;
  }
}
