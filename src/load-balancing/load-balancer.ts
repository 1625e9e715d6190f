/** The choice of a backend for each attempt. */
import type { EdgePlacement } from "../control-protocol/edge-placement.js";
import type { Backend } from "./backend.js";
import { computeConnectionLimit, computeRingOrder, computeSubsetSize } from "./backend-ring.js";
import { BackendStats } from "./backend-stats.js";
import { RouteStatsTable, DEFAULT_RESPONSE_BYTES, type RouteStats } from "./route-stats.js";
import type { AttemptSample } from "./attempt-sample.js";

/** How long a backend without instances takes to warm up. */
const WARM_UP_MS = 10_000;
const MIN_WARMTH = 0.05;
/** A backend is failing where more than this part of its attempts fail: more than one in ten, one after the other. */
const FAILING_RATE = 0.15;
/** How much a KiB of a response from another zone costs, as a delay. */
const REMOTE_MS_PER_KIB = 2;
/** How long a backend may go without progress: a multiple of what its routes usually take, and some more. */
const TOLERANCE = { factor: 3, extraMs: 150, defaultLatencyMs: 500 };
/** How often a backend is chosen by weight alone, so that the recovery of a slow one is noticed. */
const EXPLORATION_RATE = 0.05;

/** Why a backend has its weight, as it is reported to operators. */
export interface WeightExplanation {
  readonly address: string;
  readonly zone: string;
  readonly share: number;
  readonly latencyMs: number;
  readonly inHand: number;
  readonly tries: number;
  readonly why: string;
}

/** What limits the choice of a backend for one attempt. */
export interface PickOptions {
  /** Addresses of the request's former attempts. */
  readonly triedAddresses: ReadonlySet<string>;
  /** How many requests this daemon may have in flight at one backend. */
  readonly maxInFlight: number;
  /** How many connections one backend accepts from all daemons together. */
  readonly maxConnections?: number | undefined;
  readonly route?: string;
}

/** Identifies a registration of a backend. */
const registrationKey = ({ address, number }: Backend): string => `${address} ${number}`;

/** Chooses among a service's backends by what this daemon has measured of them. */
export class LoadBalancer {
  private readonly zone: string;
  private readonly random: () => number;
  private readonly statsByKey = new Map<string, BackendStats>();
  private statsCache = new WeakMap<Backend, BackendStats>();
  private readonly routes = new RouteStatsTable();
  private placement: EdgePlacement | undefined;
  /** The ring order of lists of backends. */
  private ringOrders = new WeakMap<readonly Backend[], readonly number[]>();

  /** `random` gives numbers from 0 up to 1. */
  constructor(zone: string, random: () => number) {
    this.zone = zone;
    this.random = random;
  }

  /** Sets this daemon's placement among all; until then no backend is preferred. */
  setPlacement(placement: EdgePlacement): void {
    this.placement = placement;
    this.ringOrders = new WeakMap();
  }

  /**
   * Chooses a backend: of two drawn by weight, the one that should respond sooner. They are drawn from this daemon's subset: the
   * first of its ring order that are healthy and have capacity, so that connections are reused and no backend has all daemons.
   */
  pick<B extends Backend>(
    backends: readonly B[],
    { triedAddresses: tried, maxInFlight: inHandLimit, maxConnections, route = "" }: PickOptions,
    nowMs: number,
  ): B | undefined {
    const sharing = {
      maxConnections,
      backendCount: backends.length,
      daemonCount: this.daemonCount,
    };
    const limit = Math.min(inHandLimit, computeConnectionLimit(sharing));
    const available = this.ordered(backends).filter(
      (backend) => !tried.has(backend.address) && this.stats(backend, nowMs).inFlight < limit,
    );
    const healthy = available.filter((backend) => this.stats(backend, nowMs).isHealthy(nowMs));
    const candidates = this.subset(
      healthy.length > 0 ? healthy : available,
      computeSubsetSize(sharing),
      nowMs,
    );
    const weights = candidates.map((backend) => this.weight(backend, nowMs));
    const first = this.draw(candidates, weights, undefined);
    const second = this.draw(candidates, weights, first);
    if (!first || !second || this.random() < EXPLORATION_RATE) return first;
    const routeStats = this.routes.find(route);
    return this.costMs(first, routeStats, nowMs) <= this.costMs(second, routeStats, nowMs)
      ? first
      : second;
  }

  /** Counts an attempt that starts. */
  attemptStarted(backend: Backend, nowMs: number, route = ""): void {
    const expectedMs = this.routes.find(route)?.meanLatencyMs ?? TOLERANCE.defaultLatencyMs;
    const toleranceMs = TOLERANCE.factor * expectedMs + TOLERANCE.extraMs;
    this.stats(backend, nowMs).start(toleranceMs, nowMs);
  }

  /** Counts an attempt that wasn't sent after all, for reasons that aren't the backend's. */
  attemptCancelled(backend: Backend, nowMs: number): void {
    this.stats(backend, nowMs).cancel();
  }

  /** Learns from an attempt that ended. */
  attemptEnded(backend: Backend, sample: AttemptSample, nowMs: number): void {
    const stats = this.stats(backend, nowMs);
    stats.end(nowMs);
    const { meanLatencyMs: expectedMs } = this.routes.recordSample(sample);
    stats.recordSample(sample, expectedMs, nowMs, this.random);
    stats.adjustWeight(sample.latencyTargetMs, nowMs);
  }

  /** Whether a backend fails so often that the failures are its own rather than its requests'. */
  isFailing(backend: Backend): boolean {
    return (this.statsByKey.get(registrationKey(backend))?.failureRate ?? 0) > FAILING_RATE;
  }

  /** Why each backend has its weight. */
  explain(backends: readonly Backend[], nowMs: number): WeightExplanation[] {
    return backends.map((backend) => {
      const stats = this.stats(backend, nowMs);
      const reasons = [stats.weightReason];
      if (backend.zone !== this.zone) reasons.push("in another zone");
      if (this.warmth(backend, stats, nowMs) < 1) reasons.push("still warming up");
      if (stats.avoidUntilMs > nowMs)
        reasons.push(`avoided after ${stats.consecutiveFailures} failures in a row`);
      return {
        address: backend.address,
        zone: backend.zone,
        share: Number(this.weight(backend, nowMs).toFixed(3)),
        latencyMs: Math.round(stats.latencyMs),
        inHand: stats.inFlight,
        tries: stats.attempts,
        why: reasons.filter(Boolean).join("; ") || "meets its goal",
      };
    });
  }

  /** Sets the known backends: new ones start to warm up now, others are forgotten. */
  setBackends(backends: readonly Backend[], nowMs: number): void {
    for (const backend of backends) this.stats(backend, nowMs);
    const keys = new Set(backends.map(registrationKey));
    for (const key of this.statsByKey.keys()) if (!keys.has(key)) this.statsByKey.delete(key);
    this.statsCache = new WeakMap();
  }

  /** How many daemons share the backends; one until this daemon's placement is known. */
  private get daemonCount(): number {
    return this.placement?.count ?? 1;
  }

  /** Backends in this daemon's ring order, which is computed once for each list. */
  private ordered<B extends Backend>(backends: readonly B[]): readonly B[] {
    if (!this.placement) return backends;
    const order =
      this.ringOrders.get(backends) ?? computeRingOrder(backends, this.zone, this.placement);
    this.ringOrders.set(backends, order);
    return order.flatMap((index) => backends[index] ?? []);
  }

  /** The first backends whose capacity this daemon doesn't use up by itself; of all, where there are too few of those. */
  private subset<B extends Backend>(
    backends: readonly B[],
    size: number,
    nowMs: number,
  ): readonly B[] {
    if (!this.placement || backends.length <= size) return backends;
    const free = backends.filter(
      (backend) => this.stats(backend, nowMs).inFlight < Math.max(1, backend.capacity),
    );
    return (free.length >= size ? free : backends).slice(0, size);
  }

  private stats(backend: Backend, nowMs: number): BackendStats {
    const cached = this.statsCache.get(backend);
    if (cached) return cached;
    const key = registrationKey(backend);
    const stats = this.statsByKey.get(key) ?? new BackendStats(nowMs);
    this.statsByKey.set(key, stats);
    this.statsCache.set(backend, stats);
    return stats;
  }

  /** How warm a backend is, 0.05 to 1. */
  private warmth(backend: Backend, stats: BackendStats, nowMs: number): number {
    const knownForMs = nowMs - stats.knownSinceMs;
    if (backend.instance === "")
      return Math.min(1, Math.max(MIN_WARMTH, backend.warmth, knownForMs / WARM_UP_MS));
    return backend.warmMs <= 0 ? 1 : Math.min(1, Math.max(MIN_WARMTH, knownForMs / backend.warmMs));
  }

  private weight(backend: Backend, nowMs: number): number {
    const stats = this.stats(backend, nowMs);
    return stats.weight * this.warmth(backend, stats, nowMs);
  }

  /** When a request should be answered there; a remote backend costs what its response's transfer costs. */
  private costMs(backend: Backend, route: RouteStats | undefined, nowMs: number): number {
    const stats = this.stats(backend, nowMs);
    const queued = 1 + stats.inFlight / Math.max(1, backend.capacity);
    const isRemote = backend.zone !== this.zone;
    const responseBytes = route?.meanResponseBytes ?? DEFAULT_RESPONSE_BYTES;
    const transferMs = isRemote ? (responseBytes / 1024) * REMOTE_MS_PER_KIB : 0;
    const expectedMs = route?.meanLatencyMs ?? stats.latencyMs;
    return (expectedMs * stats.relativeLatency * queued) / this.weight(backend, nowMs) + transferMs;
  }

  /** Draws a backend by weight, another than `except`. */
  private draw<B extends Backend>(
    backends: readonly B[],
    weights: readonly number[],
    except: B | undefined,
  ): B | undefined {
    let sum = 0;
    for (const [index, weight] of weights.entries()) if (backends[index] !== except) sum += weight;
    let remaining = this.random() * sum;
    let last: B | undefined;
    for (const [index, backend] of backends.entries()) {
      if (backend === except) continue;
      last = backend;
      remaining -= weights[index] ?? 0;
      if (remaining <= 0) break;
    }
    return last;
  }
}
