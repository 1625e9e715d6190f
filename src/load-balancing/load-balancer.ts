import type { EdgePlacement } from "../control-protocol/edge-placement.js";
import type { Backend } from "./backend.js";
import { connectionShare, ringRanks, subsetSizeFor } from "./backend-ring.js";
import { BackendStats } from "./backend-stats.js";
import { RouteStatsTable, UNSEEN_RESPONSE_BYTES, type RouteStats } from "./route-stats.js";
import type { AttemptSample } from "./attempt-sample.js";

const warmUpMs = 10_000;
const leastWarmth = 0.05;
/** More than one failure in ten, one after the other. */
const failingRate = 0.15;
/** What a KiB of a response costs on its way from another zone, as if it came later. */
const farKibMs = 2;
/** How much longer than usual a backend may be silent with work in hand. */
const patience = { times: 3, spareMs: 150, unseenMs: 500 };
/** How often the share alone decides, so that a backend that got better is seen again. */
const lookAgain = 0.05;

/** Why a backend has its share, for operators. */
export interface WeightExplanation {
  readonly address: string;
  readonly zone: string;
  readonly share: number;
  readonly latencyMs: number;
  readonly inHand: number;
  readonly tries: number;
  readonly why: string;
}

/** What bounds the choice of a backend for one request. */
export interface PickOptions {
  /** Addresses that the request was sent to already. */
  readonly tried: ReadonlySet<string>;
  /** How many requests this daemon may have in hand at one backend. */
  readonly inHandLimit: number;
  /** How many connections one backend bears from all daemons together. */
  readonly maxConnections?: number | undefined;
  readonly route?: string;
}

/** Chooses among a service's backends by what this daemon has seen of them, steered toward the goals. */
export class LoadBalancer {
  private readonly zone: string;
  private readonly random: () => number;
  private readonly statsByKey = new Map<string, BackendStats>();
  private known = new WeakMap<Backend, BackendStats>();
  private readonly routes = new RouteStatsTable();
  private place: EdgePlacement | undefined;
  /** The ring order of lists of backends, as places in the list. */
  private commands = new WeakMap<readonly Backend[], readonly number[]>();

  /** `random` gives 0 to 1. */
  constructor(zone: string, random: () => number) {
    this.zone = zone;
    this.random = random;
  }

  /** Learns this daemon's place among all; until then every backend is as good as another. */
  setPlace(place: EdgePlacement): void {
    this.place = place;
    this.commands = new WeakMap();
  }

  /**
   * Chooses a backend: of two drawn by share, the one that should be done sooner. They are drawn from this daemon's subset: the
   * first of its ring order that are well and have room, so that connections are used again and no backend meets all daemons.
   */
  pick<B extends Backend>(
    backends: readonly B[],
    { tried, inHandLimit, maxConnections, route = "" }: PickOptions,
    nowMs: number,
  ): B | undefined {
    const sharing = {
      maxConnections,
      backendCount: backends.length,
      daemonCount: this.daemonCount,
    };
    const limit = Math.min(inHandLimit, connectionShare(sharing));
    const open = this.ordered(backends).filter(
      (backend) => !tried.has(backend.address) && this.stats(backend, nowMs).inHand < limit,
    );
    const well = open.filter((backend) => BackendStats.isWell(this.stats(backend, nowMs), nowMs));
    const from = this.subset(well.length > 0 ? well : open, subsetSizeFor(sharing), nowMs);
    const weights = from.map((backend) => this.weight(backend, nowMs));
    const first = this.draw(from, weights, undefined);
    const second = this.draw(from, weights, first);
    if (!first || !second || this.random() < lookAgain) return first;
    const usual = this.routes.find(route);
    return this.costMs(first, usual, nowMs) <= this.costMs(second, usual, nowMs) ? first : second;
  }

  /** Counts a try that begins. */
  began(backend: Backend, nowMs: number, route = ""): void {
    const stats = this.stats(backend, nowMs);
    const usualMs = this.routes.find(route)?.tookMs ?? patience.unseenMs;
    const patientMs = patience.times * usualMs + patience.spareMs;
    stats.patientMs = stats.inHand === 0 ? patientMs : Math.max(stats.patientMs, patientMs);
    if (stats.inHand === 0) stats.quietSinceMs = nowMs;
    stats.inHand += 1;
    stats.tries += 1;
  }

  /** A try was not sent after all, for reasons that aren't the backend's. */
  withdrew(backend: Backend, nowMs: number): void {
    const stats = this.stats(backend, nowMs);
    stats.inHand = Math.max(0, stats.inHand - 1);
  }

  /** Learns from how a try ended: whole within some time, or not. */
  ended(backend: Backend, outcome: AttemptSample, nowMs: number): void {
    const stats = this.stats(backend, nowMs);
    stats.inHand = Math.max(0, stats.inHand - 1);
    stats.quietSinceMs = nowMs;
    const { tookMs: usualMs } = this.routes.learn(outcome);
    BackendStats.learn(stats, outcome, usualMs, nowMs, this.random);
    BackendStats.steer(stats, outcome.goalMs, nowMs);
  }

  /** Whether a backend fails so often that its failures are its own rather than its requests'. */
  isFailing(backend: Backend): boolean {
    return (this.statsByKey.get(this.key(backend))?.failureRate ?? 0) > failingRate;
  }

  /** Why each backend has its share. */
  explain(backends: readonly Backend[], nowMs: number): WeightExplanation[] {
    return backends.map((backend) => {
      const stats = this.stats(backend, nowMs);
      const reasons = [stats.why];
      if (backend.zone !== this.zone) reasons.push("in another zone");
      if (this.warmth(backend, stats, nowMs) < 1) reasons.push("still warming up");
      if (stats.avoidUntilMs > nowMs)
        reasons.push(`avoided after ${stats.failuresInARow} failures in a row`);
      return {
        address: backend.address,
        zone: backend.zone,
        share: Number(this.weight(backend, nowMs).toFixed(3)),
        latencyMs: Math.round(stats.latencyMs),
        inHand: stats.inHand,
        tries: stats.tries,
        why: reasons.filter(Boolean).join("; ") || "meets its goal",
      };
    });
  }

  /** Learns which backends there are: those that are new begin to warm up now. */
  setBackends(backends: readonly Backend[], nowMs: number): void {
    for (const backend of backends) this.stats(backend, nowMs);
    this.keepOnly(backends);
  }

  /** Lets go of backends that are no longer known. */
  keepOnly(backends: Iterable<Backend>): void {
    const keys = new Set([...backends].map((backend) => this.key(backend)));
    for (const key of this.statsByKey.keys()) if (!keys.has(key)) this.statsByKey.delete(key);
    this.known = new WeakMap();
  }

  /** How many daemons share the backends; one until this daemon has been told its place. */
  private get daemonCount(): number {
    return this.place?.count ?? 1;
  }

  /** Backends in this daemon's ring order, worked out once for each list. */
  private ordered<B extends Backend>(backends: readonly B[]): readonly B[] {
    if (!this.place) return backends;
    const ranks = this.commands.get(backends) ?? ringRanks(backends, this.zone, this.place);
    this.commands.set(backends, ranks);
    return ranks.flatMap((rank) => backends[rank] ?? []);
  }

  /** The first backends that this daemon doesn't keep busy by itself; busy ones too where there are too few of those. */
  private subset<B extends Backend>(
    backends: readonly B[],
    size: number,
    nowMs: number,
  ): readonly B[] {
    if (!this.place || backends.length <= size) return backends;
    const free = backends.filter(
      (backend) => this.stats(backend, nowMs).inHand < Math.max(1, backend.capacity),
    );
    return (free.length >= size ? free : backends).slice(0, size);
  }

  private key(backend: Backend): string {
    return `${backend.address} ${backend.number}`;
  }

  private stats(backend: Backend, nowMs: number): BackendStats {
    const seen = this.known.get(backend);
    if (seen) return seen;
    const key = this.key(backend);
    const stats = this.statsByKey.get(key) ?? BackendStats.fresh(nowMs);
    this.statsByKey.set(key, stats);
    this.known.set(backend, stats);
    return stats;
  }

  private warmth(backend: Backend, stats: BackendStats, nowMs: number): number {
    const sinceMs = nowMs - stats.sinceMs;
    if (backend.instance === "")
      return Math.min(1, Math.max(leastWarmth, backend.warmth, sinceMs / warmUpMs));
    return backend.warmMs <= 0 ? 1 : Math.min(1, Math.max(leastWarmth, sinceMs / backend.warmMs));
  }

  private weight(backend: Backend, nowMs: number): number {
    const stats = this.stats(backend, nowMs);
    return stats.share * this.warmth(backend, stats, nowMs);
  }

  /** When a request would be done there, as far as is seen here; a far one costs what its response's way costs. */
  private costMs(backend: Backend, usual: RouteStats | undefined, nowMs: number): number {
    const stats = this.stats(backend, nowMs);
    const queued = 1 + stats.inHand / Math.max(1, backend.capacity);
    const isFar = backend.zone !== this.zone;
    const farMs = isFar ? ((usual?.bytes ?? UNSEEN_RESPONSE_BYTES) / 1024) * farKibMs : 0;
    const usualMs = usual?.tookMs ?? stats.latencyMs;
    return (usualMs * stats.pace * queued) / this.weight(backend, nowMs) + farMs;
  }

  /** One by its weight, another than `except`. */
  private draw<B extends Backend>(
    backends: readonly B[],
    weights: readonly number[],
    except: B | undefined,
  ): B | undefined {
    let sum = 0;
    for (const [at, weight] of weights.entries()) if (backends[at] !== except) sum += weight;
    let left = this.random() * sum;
    let last: B | undefined;
    for (const [at, backend] of backends.entries()) {
      if (backend === except) continue;
      last = backend;
      left -= weights[at] ?? 0;
      if (left <= 0) break;
    }
    return last;
  }
}
