/** An edge's request counts, and their exchange with the aggregation tree. */
import type { ClusterView } from "../cluster-view/cluster-view.js";
import type { RpcEndpoint } from "../rpc/rpc-endpoint.js";
import { rpcMethods } from "../rpc/rpc-method.js";
import { Queue } from "../runtime/queue.js";
import { sleep } from "../runtime/clock.js";
import type { Logger } from "../runtime/logger.js";
import type { Task } from "../runtime/task.js";
import type { Runtime } from "../runtime/runtime.js";
import { defaultRetryRules, type SketchQuota } from "./retry-budget.js";
import type { RetryRules } from "./retry-rules.js";
import {
  type AggregatedCounts,
  readAggregatedCounts,
  EXPEDITED_PUSH_DELAY_MS,
  ROUTE_COUNTS_INTERVAL_MS,
  type CountCoverage,
  type CountPush,
} from "./count-messages.js";
import { RequestCounts, type AttemptCounts, type RequestCountsFormat } from "./request-counts.js";

/** Fraction of its quota that a daemon may use before the next counts arrive: other daemons use theirs meanwhile, and the counts lag behind. */
const ROUND_FRACTION = 0.5;
/** Fractions of the window over which the sketch compares retries with first attempts. */
const WINDOW_FRACTIONS = [0.05, 0.1, 0.15, 0.2, 0.25, 0.3, 0.4, 0.5, 0.65, 0.8, 1];
/** Number of retries that each daemon is assumed to send when the remaining retries are divided. */
const ASSUMED_RETRIES = 1;
/** Random factor on the push interval: from `min` to `min + range`. */
const PUSH_JITTER = { min: 0.9, range: 0.2 };

/** Identity of the counting process, and its zone. */
export interface EdgeIdentity {
  readonly machine: string;
  readonly incarnation: string;
  readonly zone: string;
}

/** The cluster's attempts on a service in the retry window, with the age of the counts and the number of edges covered. */
export interface ClusterAttemptCounts extends AttemptCounts {
  readonly ageMs: number;
  readonly edges: number;
}

/** A sent push, by its number, whose counts may be included in the cluster's counts. */
interface SentPush {
  readonly push: number;
  readonly atMs: number;
}

/** An edge's own counts, and the cluster's counts last received from its collector. */
export class EdgeCounts {
  private readonly runtime: Runtime;
  private readonly rpc: RpcEndpoint;
  private readonly format: RequestCountsFormat;
  private readonly clusterView: ClusterView;
  private readonly self: EdgeIdentity;
  private readonly rules: RetryRules;
  private readonly log: Logger;
  private readonly own: RequestCounts;
  private cluster:
    | { readonly counts: RequestCounts; readonly atMs: number; readonly coverage: CountCoverage }
    | undefined;
  private parent = "";
  private parentSequence = 0;
  private sentPushes: SentPush[] = [];
  private lastPushNumber = 0;
  private readonly expedited = new Queue<true>();
  /** Send time of the last push that the cluster's counts include. */
  private includedMs = -Infinity;
  private halfTripMs = 0;
  private routesSentMs = -Infinity;

  constructor(
    runtime: Runtime,
    rpc: RpcEndpoint,
    format: RequestCountsFormat,
    clusterView: ClusterView,
    self: EdgeIdentity,
    rules: RetryRules = defaultRetryRules,
  ) {
    this.runtime = runtime;
    this.rpc = rpc;
    this.format = format;
    this.clusterView = clusterView;
    this.self = self;
    this.rules = rules;
    this.log = runtime.loggers.component("retry-budget");
    this.own = new RequestCounts(format);
  }

  /** The cluster's counts last received, with their age and coverage. */
  get latest(): { counts: RequestCounts; ageMs: number; coverage: CountCoverage } | undefined {
    if (!this.cluster) return undefined;
    const { counts, atMs, coverage } = this.cluster;
    return { counts, ageMs: this.runtime.clock.nowMs() - atMs, coverage };
  }

  /** Counts a request on a route. */
  countRoute(routeId: number): void {
    this.own.countRoute(routeId, this.runtime.clock.nowMs());
  }

  /** Counts an attempt that is sent to a backend of a service. */
  countAttempt(service: string, isRetry: boolean): void {
    const serviceId = this.clusterView.idOf("service", service);
    if (serviceId !== undefined)
      this.own.countAttempt(serviceId, isRetry, this.runtime.clock.nowMs());
  }

  /**
   * This daemon's quota of a service's retries by the cluster's sketch, and how many it has used since the sketch. In each examined
   * fraction of the window, the cluster may send as many retries as the pool and its first attempts allow. A daemon's quota is its
   * recent share of the cluster's retries, applied to the remaining ones, plus what its own first attempts have earned since.
   */
  remainingQuota(service: string): SketchQuota | undefined {
    const serviceId = this.clusterView.idOf("service", service);
    if (serviceId === undefined || !this.cluster) return undefined;
    const { counts, coverage } = this.cluster;
    const { sketch, windowMs } = this.rules;
    const nowMs = this.runtime.clock.nowMs();
    let remaining = sketch.pool;
    for (const windowFraction of WINDOW_FRACTIONS) {
      const { firstAttempts, retries } = counts.ofService(
        serviceId,
        nowMs,
        windowFraction * windowMs,
      );
      remaining = Math.min(remaining, sketch.pool + sketch.earned * firstAttempts - retries);
    }
    const since = this.ownSinceIncluded(serviceId, nowMs);
    const ownRetries = this.own.ofService(serviceId, nowMs, windowMs).retries - since.retries;
    const clusterRetries = counts.ofService(serviceId, nowMs, windowMs).retries;
    const ownFraction = Math.min(
      1,
      (ownRetries + ASSUMED_RETRIES) /
        (Math.max(ownRetries, clusterRetries) + ASSUMED_RETRIES * Math.max(1, coverage.edges)),
    );
    return {
      limit: remaining * ownFraction * ROUND_FRACTION + sketch.earned * since.firstAttempts,
      used: since.retries,
    };
  }

  /** The cluster's first attempts and retries of a service in the retry window, including this daemon's own that the sketch lacks. */
  ofService(service: string): ClusterAttemptCounts | undefined {
    const serviceId = this.clusterView.idOf("service", service);
    if (serviceId === undefined || !this.cluster) return undefined;
    const nowMs = this.runtime.clock.nowMs();
    const cluster = this.cluster.counts.ofService(serviceId, nowMs, this.rules.windowMs);
    const since = this.ownSinceIncluded(serviceId, nowMs);
    return {
      firstAttempts: cluster.firstAttempts + since.firstAttempts,
      retries: cluster.retries + since.retries,
      ageMs: nowMs - this.includedMs,
      edges: this.cluster.coverage.edges,
    };
  }

  /** Sends the next push earlier, since retries are requested. */
  expedite(): void {
    this.expedited.putIfEmpty(true);
  }

  /** Pushes to a collector about every `pushMs` while the daemon runs, or earlier if expedited. */
  *run(pushMs: number): Task {
    const { clock } = this.runtime;
    for (;;) {
      const startedMs = clock.nowMs();
      yield* sleep(clock, EXPEDITED_PUSH_DELAY_MS);
      const jitter = PUSH_JITTER.min + this.runtime.random() * PUSH_JITTER.range;
      const expedited = yield* this.expedited.takeUntil(clock, startedMs + pushMs * jitter);
      const sentMs = clock.nowMs();
      this.own.expire(sentMs);
      const withRoutes = sentMs - this.routesSentMs >= ROUTE_COUNTS_INTERVAL_MS;
      const parent = this.chooseParent();
      if (!parent) continue;
      const push = this.nextPush(expedited !== undefined, sentMs);
      const response = yield* this.rpc.call(
        parent,
        rpcMethods.pushCounts,
        { text: JSON.stringify(push), sketches: this.own.encode(sentMs, withRoutes) },
        pushMs,
      );
      const receivedMs = clock.nowMs();
      if (!response) {
        this.parent = "";
        continue;
      }
      this.halfTripMs = (receivedMs - sentMs) / 2;
      if (withRoutes) this.routesSentMs = sentMs;
      this.receive(readAggregatedCounts(response.text), response.sketches, receivedMs);
    }
  }

  private nextPush(isExpedited: boolean, sentMs: number): CountPush {
    this.lastPushNumber += 1;
    this.sentPushes.push({ push: this.lastPushNumber, atMs: sentMs });
    this.sentPushes = this.sentPushes.filter(
      ({ atMs }) => atMs > sentMs - this.format.attempts.windowMs,
    );
    return {
      from: this.self.machine,
      incarnation: this.self.incarnation,
      tier: "edge",
      push: this.lastPushNumber,
      parentSequence: this.parentSequence,
      halfTripMs: this.halfTripMs,
      includes: [],
      wants: [],
      isHurried: isExpedited,
    };
  }

  private receive(
    { taken, includedPush, coverage, sinceMs = 0 }: AggregatedCounts,
    sketches: Uint8Array,
    receivedMs: number,
  ): void {
    if (taken !== "") {
      this.log.warn("sketch refused by collector", { why: taken });
      return;
    }
    if (includedPush !== undefined)
      this.includedMs =
        this.sentPushes.find(({ push }) => push === includedPush)?.atMs ?? -Infinity;
    const counts = RequestCounts.decode(
      sketches,
      this.format,
      receivedMs,
      this.halfTripMs + sinceMs,
    );
    this.cluster = {
      counts: counts.withRoutesOf(this.cluster?.counts),
      atMs: receivedMs,
      coverage,
    };
  }

  /** This daemon's attempts on a service that the cluster's counts don't include yet. */
  private ownSinceIncluded(serviceId: number, nowMs: number): AttemptCounts {
    const rangeMs = Math.min(this.rules.windowMs, nowMs - this.includedMs);
    return this.own.ofService(serviceId, nowMs, rangeMs);
  }

  /** The collector to push to: the previous one while it is listed, otherwise a random one of this zone, or of all zones if it has none. */
  private chooseParent(): string {
    const { collectors } = this.clusterView;
    const inZone = collectors.filter(({ zone }) => zone === this.self.zone);
    const candidates = inZone.length > 0 ? inZone : collectors;
    if (candidates.some(({ peer }) => peer === this.parent)) return this.parent;
    const index = Math.floor(this.runtime.random() * candidates.length);
    const chosen = candidates[index]?.peer ?? "";
    if (chosen !== this.parent) this.parentSequence += 1;
    this.parent = chosen;
    return chosen;
  }
}
