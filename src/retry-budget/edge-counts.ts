/** The request counts of an edge, and its exchange with the tree of collectors. */
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

/** Which part of its quota a daemon may use before the next counts arrive: the others use theirs meanwhile, and not all of that is counted yet. */
const ROUND_PART = 0.5;
/** The parts of the window in which the sketch compares retries with first attempts. */
const WINDOW_PARTS = [0.05, 0.1, 0.15, 0.2, 0.25, 0.3, 0.4, 0.5, 0.65, 0.8, 1];
/** How many retries each daemon is assumed to take when quotas are allotted. */
const ASSUMED_RETRIES = 1;
/** How far the time between pushes varies, as a part of it, around its mean. */
const PUSH_JITTER = { min: 0.9, range: 0.2 };

/** The process that counts, and its zone. */
export interface EdgeIdentity {
  readonly machine: string;
  readonly incarnation: string;
  readonly zone: string;
}

/** The cluster's attempts on a service in the retry window, how old the counts are, and how many edges they cover. */
export interface ClusterAttemptCounts extends AttemptCounts {
  readonly ageMs: number;
  readonly edges: number;
}

/** A push that was sent, whose counts may be included in those that come down. */
interface SentPush {
  readonly push: number;
  readonly atMs: number;
}

/** An edge's own counts, and the cluster's as they last came down the tree. */
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
  private lastPush = 0;
  private readonly expedited = new Queue<true>();
  /** When the last push was sent that the cluster's counts include. */
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

  /** The cluster's counts as last received. */
  get latest(): { counts: RequestCounts; ageMs: number; coverage: CountCoverage } | undefined {
    if (!this.cluster) return undefined;
    const { counts, atMs, coverage } = this.cluster;
    return { counts, ageMs: this.runtime.clock.nowMs() - atMs, coverage };
  }

  /** Counts a request on a route. */
  countRoute(route: number): void {
    this.own.countRoute(route, this.runtime.clock.nowMs());
  }

  /** Counts an attempt that is sent to a backend of a service. */
  countAttempt(service: string, isRetry: boolean): void {
    const number = this.clusterView.idOf("service", service);
    if (number !== undefined) this.own.countAttempt(number, isRetry, this.runtime.clock.nowMs());
  }

  /**
   * What the cluster's sketch leaves this daemon of a service's retries, and how many it took since. In each examined part of the
   * window, the cluster may take the pool and what its first attempts earned. Of what is left, each daemon has the part that it
   * took of the cluster's retries lately, and what its own first attempts earned since.
   */
  remainingQuota(service: string): SketchQuota | undefined {
    const number = this.clusterView.idOf("service", service);
    if (number === undefined || !this.cluster) return undefined;
    const { counts, coverage } = this.cluster;
    const { sketch, windowMs } = this.rules;
    const nowMs = this.runtime.clock.nowMs();
    let remaining = sketch.pool;
    for (const windowPart of WINDOW_PARTS) {
      const { firstAttempts: first, retries: further } = counts.ofService(
        number,
        nowMs,
        windowPart * windowMs,
      );
      remaining = Math.min(remaining, sketch.pool + sketch.earned * first - further);
    }
    const since = this.ownSinceIncluded(number, nowMs);
    const ownRetries = this.own.ofService(number, nowMs, windowMs).retries - since.retries;
    const clusterRetries = counts.ofService(number, nowMs, windowMs).retries;
    const ownPart = Math.min(
      1,
      (ownRetries + ASSUMED_RETRIES) /
        (Math.max(ownRetries, clusterRetries) + ASSUMED_RETRIES * Math.max(1, coverage.edges)),
    );
    return {
      limit: remaining * ownPart * ROUND_PART + sketch.earned * since.firstAttempts,
      used: since.retries,
    };
  }

  /** First attempts and retries of a service across the cluster in the retry window, with this daemon's own since. */
  ofService(service: string): ClusterAttemptCounts | undefined {
    const number = this.clusterView.idOf("service", service);
    if (number === undefined || !this.cluster) return undefined;
    const nowMs = this.runtime.clock.nowMs();
    const cluster = this.cluster.counts.ofService(number, nowMs, this.rules.windowMs);
    const since = this.ownSinceIncluded(number, nowMs);
    return {
      firstAttempts: cluster.firstAttempts + since.firstAttempts,
      retries: cluster.retries + since.retries,
      ageMs: nowMs - this.includedMs,
      edges: this.cluster.coverage.edges,
    };
  }

  /** Has the next push sent sooner, since retries are requested. */
  expedite(): void {
    this.expedited.putIfEmpty(true);
  }

  /** Pushes to a collector about every `pushMs` for as long as the daemon runs, or sooner where expedited. */
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
    this.lastPush += 1;
    this.sentPushes.push({ push: this.lastPush, atMs: sentMs });
    this.sentPushes = this.sentPushes.filter(
      ({ atMs }) => atMs > sentMs - this.format.attempts.windowMs,
    );
    return {
      from: this.self.machine,
      incarnation: this.self.incarnation,
      tier: "edge",
      push: this.lastPush,
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

  /** This daemon's own attempts on a service that the cluster's counts don't include yet. */
  private ownSinceIncluded(serviceNumber: number, nowMs: number): AttemptCounts {
    const rangeMs = Math.min(this.rules.windowMs, nowMs - this.includedMs);
    return this.own.ofService(serviceNumber, nowMs, rangeMs);
  }

  /** The collector to push to: the former one while it is there, else a random one of the own zone, or of all zones. */
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
