/** Chooses a backend for each attempt. */
import type { EdgePlacement } from "../control-protocol/edge-placement.js";
import type { Backend } from "./backend.js";
import { computeConnectionLimit, computeRingOrder, computeSubsetSize } from "./backend-ring.js";
import { BackendStats } from "./backend-stats.js";
import { RouteStatsTable, DEFAULT_RESPONSE_BYTES, type RouteStats } from "./route-stats.js";
import type { AttemptSample } from "./attempt-sample.js";

/** Warm-up time of a backend without an instance. */
const WARM_UP_MS = 10_000;
const MIN_WARMTH = 0.05;
/**
 * Failure rate above which a backend is failing. The moving average exceeds it only after more than one recent failure.
 */
const FAILING_RATE = 0.15;
/** Cost of a KiB of a response from another zone, as a delay. */
const REMOTE_MS_PER_KIB = 2;
/** How long a backend may make no progress: a multiple of the mean latency of its routes, plus a constant. */
const TOLERANCE = { factor: 3, extraMs: 150, defaultLatencyMs: 500 };
/** Fraction of choices that are made by weight alone, so that the recovery of a slow backend is detected. */
const EXPLORATION_RATE = 0.05;

/** The reasons for a backend's weight, as reported to operators. */
export interface WeightExplanation {
  readonly address: string;
  readonly zone: string;
  readonly share: number;
  readonly latencyMs: number;
  readonly inHand: number;
  readonly tries: number;
  readonly why: string;
}

/** Constraints on the choice of a backend for one attempt. */
export interface PickOptions {
  /** Addresses of the request's previous attempts. */
  readonly triedAddresses: ReadonlySet<string>;
  /** Maximum number of requests that this daemon may have in flight at one backend. */
  readonly maxInFlight: number;
  /** Maximum number of connections that one backend accepts from all daemons together. */
  readonly maxConnections?: number | undefined;
  readonly route?: string;
}

/** Identifies a registration of a backend. */
const registrationKey = ({ address, number }: Backend): string => `${address} ${number}`;

/** Chooses among a service's backends by this daemon's own measurements. */
export class LoadBalancer {
  private readonly zone: string;
  private readonly random: () => number;
  private readonly statsByKey = new Map<string, BackendStats>();
  private statsCache = new WeakMap<Backend, BackendStats>();
  private readonly routes = new RouteStatsTable();
  private placement: EdgePlacement | undefined;
  /** The ring order of each list of backends. */
  private ringOrders = new WeakMap<readonly Backend[], readonly number[]>();

  /** `random` returns numbers from 0 up to 1. */
  constructor(zone: string, random: () => number) {
    this.zone = zone;
    this.random = random;
  }

  /** Sets this daemon's placement among all daemons; until then no subset is preferred. */
  setPlacement(placement: EdgePlacement): void {
    this.placement = placement;
    this.ringOrders = new WeakMap();
  }

  /**
   * Chooses a backend: draws two by weight and takes the one with the lower expected latency. Both are drawn from this
   * daemon's subset, which is the first backends of its ring order that are healthy and have capacity. Subsets allow
   * connections to be reused and keep backends from having connections to all daemons.
   */
  pick<B extends Backend>(
    backends: readonly B[],
    { triedAddresses, maxInFlight, maxConnections, route = "" }: PickOptions,
    nowMs: number,
  ): B | undefined {
    const sharing = {
      maxConnections,
      backendCount: backends.length,
      daemonCount: this.daemonCount,
    };
    const limit = Math.min(maxInFlight, computeConnectionLimit(sharing));
    const available = this.inRingOrder(backends).filter(
      (backend) =>
        !triedAddresses.has(backend.address) && this.statsFor(backend, nowMs).inFlight < limit,
    );
    const healthy = available.filter((backend) => this.statsFor(backend, nowMs).isHealthy(nowMs));
    const candidates = this.selectSubset(
      healthy.length > 0 ? healthy : available,
      computeSubsetSize(sharing),
      nowMs,
    );
    const weights = candidates.map((backend) => this.computeWeight(backend, nowMs));
    const first = this.drawByWeight(candidates, weights, undefined);
    const second = this.drawByWeight(candidates, weights, first);
    if (!first || !second || this.random() < EXPLORATION_RATE) return first;
    const routeStats = this.routes.find(route);
    return this.estimateLatencyMs(first, routeStats, nowMs) <=
      this.estimateLatencyMs(second, routeStats, nowMs)
      ? first
      : second;
  }

  /** Counts an attempt that starts. */
  attemptStarted(backend: Backend, nowMs: number, route = ""): void {
    const expectedLatencyMs = this.routes.find(route)?.meanLatencyMs ?? TOLERANCE.defaultLatencyMs;
    const toleranceMs = TOLERANCE.factor * expectedLatencyMs + TOLERANCE.extraMs;
    this.statsFor(backend, nowMs).start(toleranceMs, nowMs);
  }

  /** Counts an attempt that was cancelled for reasons unrelated to the backend. */
  attemptCancelled(backend: Backend, nowMs: number): void {
    this.statsFor(backend, nowMs).cancel();
  }

  /** Adds an attempt that has ended to the statistics of its backend and route. */
  attemptEnded(backend: Backend, sample: AttemptSample, nowMs: number): void {
    const stats = this.statsFor(backend, nowMs);
    stats.end(nowMs);
    const { meanLatencyMs: expectedLatencyMs } = this.routes.recordSample(sample);
    stats.recordSample(sample, expectedLatencyMs, nowMs, this.random);
    stats.adjustWeight(sample.latencyTargetMs, nowMs);
  }

  /** Whether a backend fails so often that the cause is the backend rather than the requests. */
  isFailing(backend: Backend): boolean {
    return (this.statsByKey.get(registrationKey(backend))?.failureRate ?? 0) > FAILING_RATE;
  }

  /** Explains the weight of each backend. */
  explain(backends: readonly Backend[], nowMs: number): WeightExplanation[] {
    return backends.map((backend) => {
      const stats = this.statsFor(backend, nowMs);
      const reasons = [stats.weightReason];
      if (backend.zone !== this.zone) reasons.push("in another zone");
      if (this.computeWarmth(backend, stats, nowMs) < 1) reasons.push("still warming up");
      if (stats.avoidUntilMs > nowMs)
        reasons.push(`avoided after ${stats.consecutiveFailures} failures in a row`);
      return {
        address: backend.address,
        zone: backend.zone,
        share: Number(this.computeWeight(backend, nowMs).toFixed(3)),
        latencyMs: Math.round(stats.latencyMs),
        inHand: stats.inFlight,
        tries: stats.attempts,
        why: reasons.filter(Boolean).join("; ") || "meets its goal",
      };
    });
  }

  /** Sets the known backends. The warm-up of new ones starts now; the statistics of all others are dropped. */
  setBackends(backends: readonly Backend[], nowMs: number): void {
    for (const backend of backends) this.statsFor(backend, nowMs);
    const keys = new Set(backends.map(registrationKey));
    for (const key of this.statsByKey.keys()) if (!keys.has(key)) this.statsByKey.delete(key);
    this.statsCache = new WeakMap();
  }

  /** The number of daemons that share the backends; 1 until this daemon's placement is known. */
  private get daemonCount(): number {
    return this.placement?.count ?? 1;
  }

  /** Sorts backends into this daemon's ring order, which is computed once for each list. */
  private inRingOrder<B extends Backend>(backends: readonly B[]): readonly B[] {
    if (!this.placement) return backends;
    const order =
      this.ringOrders.get(backends) ?? computeRingOrder(backends, this.zone, this.placement);
    this.ringOrders.set(backends, order);
    return order.flatMap((index) => backends[index] ?? []);
  }

  /**
   * The first `size` backends with fewer requests of this daemon than their capacity; the first of all if there are too
   * few of these.
   */
  private selectSubset<B extends Backend>(
    backends: readonly B[],
    size: number,
    nowMs: number,
  ): readonly B[] {
    if (!this.placement || backends.length <= size) return backends;
    const free = backends.filter(
      (backend) => this.statsFor(backend, nowMs).inFlight < Math.max(1, backend.capacity),
    );
    return (free.length >= size ? free : backends).slice(0, size);
  }

  private statsFor(backend: Backend, nowMs: number): BackendStats {
    const cached = this.statsCache.get(backend);
    if (cached) return cached;
    const key = registrationKey(backend);
    const stats = this.statsByKey.get(key) ?? new BackendStats(nowMs);
    this.statsByKey.set(key, stats);
    this.statsCache.set(backend, stats);
    return stats;
  }

  /** The warm-up progress of a backend, 0.05 to 1. */
  private computeWarmth(backend: Backend, stats: BackendStats, nowMs: number): number {
    const knownForMs = nowMs - stats.knownSinceMs;
    if (backend.instance === "")
      return Math.min(1, Math.max(MIN_WARMTH, backend.warmth, knownForMs / WARM_UP_MS));
    return backend.warmMs <= 0 ? 1 : Math.min(1, Math.max(MIN_WARMTH, knownForMs / backend.warmMs));
  }

  private computeWeight(backend: Backend, nowMs: number): number {
    const stats = this.statsFor(backend, nowMs);
    return stats.weight * this.computeWarmth(backend, stats, nowMs);
  }

  /**
   * Estimates the latency of a request at a backend. A backend in another zone adds the transfer cost of the response.
   */
  private estimateLatencyMs(
    backend: Backend,
    route: RouteStats | undefined,
    nowMs: number,
  ): number {
    const stats = this.statsFor(backend, nowMs);
    const queueFactor = 1 + stats.inFlight / Math.max(1, backend.capacity);
    const isRemote = backend.zone !== this.zone;
    const responseBytes = route?.meanResponseBytes ?? DEFAULT_RESPONSE_BYTES;
    const transferMs = isRemote ? (responseBytes / 1024) * REMOTE_MS_PER_KIB : 0;
    const expectedLatencyMs = route?.meanLatencyMs ?? stats.latencyMs;
    return (
      (expectedLatencyMs * stats.relativeLatency * queueFactor) /
        this.computeWeight(backend, nowMs) +
      transferMs
    );
  }

  /** Draws a random backend by weight, except `excluded`. */
  private drawByWeight<B extends Backend>(
    backends: readonly B[],
    weights: readonly number[],
    excluded: B | undefined,
  ): B | undefined {
    let sum = 0;
    for (const [index, weight] of weights.entries())
      if (backends[index] !== excluded) sum += weight;
    let remaining = this.random() * sum;
    let last: B | undefined;
    for (const [index, backend] of backends.entries()) {
      if (backend === excluded) continue;
      last = backend;
      remaining -= weights[index] ?? 0;
      if (remaining <= 0) break;
    }
    return last;
  }
}
