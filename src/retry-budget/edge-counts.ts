import type { ClusterView } from "../cluster-view/cluster-view.js";
import type { RpcEndpoint } from "../rpc/rpc-endpoint.js";
import { RpcMethod } from "../rpc/rpc-method.js";
import { Queue } from "../runtime/queue.js";
import { Clock } from "../runtime/clock.js";
import type { Logger } from "../runtime/logger.js";
import type { Task } from "../runtime/task.js";
import type { Runtime } from "../runtime/runtime.js";
import { defaultRetryRules, type SketchQuota } from "./retry-budget.js";
import type { RetryRules } from "./retry-rules.js";
import {
  AggregatedCounts,
  EXPEDITED_PUSH_MS,
  ROUTE_COUNTS_INTERVAL_MS,
  type CountPush,
} from "./count-aggregator.js";
import { RequestCounts, type RequestCountsFormat } from "./request-counts.js";

/** Which part of what is left may be taken before the next counts come: others take theirs meanwhile, some of it not yet counted. */
const roundPart = 0.5;
/** The parts of the window in which the sketch holds further tries against first ones. */
const stretches = [0.05, 0.1, 0.15, 0.2, 0.25, 0.3, 0.4, 0.5, 0.65, 0.8, 1];
/** How many further tries of each daemon are taken for granted when what is left is parted. */
const evenTries = 1;
/** An edge's own counts, and the fleet's as they last came down the tree. */
export class EdgeCounts {
  private readonly runtime: Runtime;
  private readonly rpc: RpcEndpoint;
  private readonly form: RequestCountsFormat;
  private readonly clusterView: ClusterView;
  private readonly self: { machine: string; incarnation: string; zone: string };
  private readonly rules: RetryRules;
  private readonly log: Logger;
  private readonly own: RequestCounts;
  private fleet:
    { counts: RequestCounts; atMs: number; coverage: AggregatedCounts["coverage"] } | undefined;
  private parent = "";
  private parentSequence = 0;
  private pushes: Array<{ push: number; atMs: number }> = [];
  private lastPush = 0;
  private readonly nudge = new Queue<true>();
  private includedMs = -Infinity;
  private halfTripMs = 0;
  private routesMs = -Infinity;

  constructor(
    runtime: Runtime,
    rpc: RpcEndpoint,
    form: RequestCountsFormat,
    clusterView: ClusterView,
    self: { machine: string; incarnation: string; zone: string },
    rules: RetryRules = defaultRetryRules,
  ) {
    this.runtime = runtime;
    this.rpc = rpc;
    this.form = form;
    this.clusterView = clusterView;
    this.self = self;
    this.rules = rules;
    this.log = runtime.loggers.component("traffic");
    this.own = new RequestCounts(form);
  }

  /** The fleet's counts as last heard. */
  get latest():
    { counts: RequestCounts; ageMs: number; coverage: AggregatedCounts["coverage"] } | undefined {
    return (
      this.fleet && {
        counts: this.fleet.counts,
        ageMs: this.runtime.clock.nowMs() - this.fleet.atMs,
        coverage: this.fleet.coverage,
      }
    );
  }

  countRoute(route: number): void {
    this.own.countRoute(route, this.runtime.clock.nowMs());
  }

  countAttempt(service: string, isFurther: boolean): void {
    const number = this.clusterView.idOf("service", service);
    if (number !== undefined) this.own.countAttempt(number, isFurther, this.runtime.clock.nowMs());
  }

  /**
   * What the fleet's sketch leaves this daemon of a service's further tries, and how many it took since. In every stretch of the
   * window that is looked at, the fleet may take the pool and what its first tries earned; of what is left, each daemon has the part
   * that it took of the fleet's further tries lately, and what its own first tries earned since.
   */
  remainingQuota(service: string): SketchQuota | undefined {
    const number = this.clusterView.idOf("service", service);
    if (number === undefined || !this.fleet) return undefined;
    const { counts, coverage } = this.fleet;
    const { sketch, windowMs } = this.rules;
    const nowMs = this.runtime.clock.nowMs();
    let left = sketch.pool;
    for (const part of stretches) {
      const { first, further } = counts.ofService(number, nowMs, part * windowMs);
      left = Math.min(left, sketch.pool + sketch.earned * first - further);
    }
    const since = this.own.ofService(number, nowMs, Math.min(windowMs, nowMs - this.includedMs));
    const own = this.own.ofService(number, nowMs, windowMs).further - since.further;
    const all = counts.ofService(number, nowMs, windowMs).further;
    const part = Math.min(
      1,
      (own + evenTries) / (Math.max(own, all) + evenTries * Math.max(1, coverage.edges)),
    );
    return { part: left * part * roundPart + sketch.earned * since.first, taken: since.further };
  }

  /** First and further tries of a service across the fleet in the retry window, with this daemon's own since. */
  ofService(
    service: string,
  ): { first: number; further: number; ageMs: number; edges: number } | undefined {
    const number = this.clusterView.idOf("service", service);
    if (number === undefined || !this.fleet) return undefined;
    const nowMs = this.runtime.clock.nowMs();
    const { windowMs } = this.rules;
    const fleet = this.fleet.counts.ofService(number, nowMs, windowMs);
    const since = this.own.ofService(number, nowMs, Math.min(windowMs, nowMs - this.includedMs));
    return {
      first: fleet.first + since.first,
      further: fleet.further + since.further,
      ageMs: nowMs - this.includedMs,
      edges: this.fleet.coverage.edges,
    };
  }

  /** Has the next push go sooner, since further tries are wished for. */
  expedite(): void {
    this.nudge.putOnce(true);
  }

  /** Pushes to the zone's collector, or to another where it has none, for as long as the daemon runs; sooner where it is hurried. */
  *run(pushMs: number): Task {
    for (;;) {
      const startedMs = this.runtime.clock.nowMs();
      yield* Clock.sleep(this.runtime.clock, EXPEDITED_PUSH_MS);
      const isHurried =
        (yield* this.nudge.takeUntil(
          this.runtime.clock,
          startedMs + pushMs * (0.9 + this.runtime.random() * 0.2),
        )) !== undefined;
      const nowMs = this.runtime.clock.nowMs();
      this.own.expire(nowMs);
      const withRoutes = nowMs - this.routesMs >= ROUTE_COUNTS_INTERVAL_MS;
      const parent = this.chooseParent();
      if (!parent) continue;
      this.lastPush += 1;
      const push: CountPush = {
        from: this.self.machine,
        incarnation: this.self.incarnation,
        tier: "edge",
        push: this.lastPush,
        parentSequence: this.parentSequence,
        halfTripMs: this.halfTripMs,
        includes: [],
        wants: [],
        isHurried,
      };
      this.pushes.push({ push: this.lastPush, atMs: nowMs });
      this.pushes = this.pushes.filter(({ atMs }) => atMs > nowMs - this.form.tries.windowMs);
      const ret = yield* this.rpc.call(
        parent,
        RpcMethod.push,
        { text: JSON.stringify(push), sketches: this.own.encode(nowMs, withRoutes) },
        pushMs,
      );
      const heardMs = this.runtime.clock.nowMs();
      if (!ret) {
        this.parent = "";
        continue;
      }
      this.halfTripMs = (heardMs - nowMs) / 2;
      if (withRoutes) this.routesMs = nowMs;
      const down = AggregatedCounts.read(ret.text);
      if (down.taken !== "") {
        this.log.warn("The collector refused this daemon's sketch.", { why: down.taken });
        continue;
      }
      if (down.includedPush !== undefined)
        this.includedMs =
          this.pushes.find(({ push: number }) => number === down.includedPush)?.atMs ?? -Infinity;
      this.fleet = {
        counts: RequestCounts.decode(
          ret.sketches,
          this.form,
          heardMs,
          this.halfTripMs + (down.sinceMs ?? 0),
        ).withRoutesOf(this.fleet?.counts),
        atMs: heardMs,
        coverage: down.coverage,
      };
    }
  }

  private chooseParent(): string {
    const near = this.clusterView.collectors.filter(({ zone }) => zone === this.self.zone);
    const choice = near.length > 0 ? near : this.clusterView.collectors;
    if (choice.some(({ peer }) => peer === this.parent)) return this.parent;
    const chosen = choice[Math.floor(this.runtime.random() * choice.length)]?.peer ?? "";
    if (chosen !== this.parent) this.parentSequence += 1;
    this.parent = chosen;
    return chosen;
  }
}
