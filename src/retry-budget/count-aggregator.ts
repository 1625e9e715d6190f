/** A collector in the aggregation tree that merges the request counts of all edges. */
import { rpcMethods } from "../rpc/rpc-method.js";
import type { DecodedMessage, RpcEndpoint } from "../rpc/rpc-endpoint.js";
import { sleep } from "../runtime/clock.js";
import type { Logger } from "../runtime/logger.js";
import { Queue } from "../runtime/queue.js";
import type { Runtime } from "../runtime/runtime.js";
import type { Task } from "../runtime/task.js";
import { SketchMismatchError } from "../sketch/ecm-sketch.js";
import { ChildAssignments } from "./child-assignments.js";
import {
  type AggregatedCounts,
  readAggregatedCounts,
  childKey,
  type CountPush,
  readCountPush,
  EXPEDITED_PUSH_DELAY_MS,
  isSameChild,
  isSameProcess,
  ROUTE_COUNTS_INTERVAL_MS,
  senderOf,
  type ChildReport,
  type CountCoverage,
} from "./count-messages.js";
import { RequestCounts, type RequestCountsFormat } from "./request-counts.js";

type PushRequest = DecodedMessage<typeof rpcMethods.pushCounts.request>;
type PushResponse = DecodedMessage<typeof rpcMethods.pushCounts.response>;

const NO_COVERAGE: CountCoverage = { edges: 0, oldestMs: 0 };

/** The newest push received from a child. */
interface ReceivedPush {
  readonly push: CountPush;
  readonly counts: RequestCounts;
  readonly atMs: number;
}

/** The cluster's counts last received from the root. */
interface ClusterCounts {
  readonly counts: RequestCounts;
  readonly atMs: number;
  readonly coverage: CountCoverage;
  /** Number of the last push of each child that the counts include, by child key. */
  readonly includedPushes: ReadonlyMap<string, number>;
}

/** The cluster's counts encoded for responses to edges; one encoding is shared by all of them. */
interface EncodedCounts {
  readonly source: RequestCounts | undefined;
  readonly withRoutes: boolean;
  readonly bytes: Uint8Array;
  readonly atMs: number;
}

/** A push to the root, before it is encoded. */
interface PreparedPush {
  readonly push: CountPush;
  readonly counts: RequestCounts;
  readonly includedPushes: ReadonlyMap<string, number>;
  readonly sentMs: number;
}

/** Merges the sketches of its children. At the leader it is the root of the tree; elsewhere it pushes to the root. */
export class CountAggregator {
  private readonly runtime: Runtime;
  private readonly rpc: RpcEndpoint;
  private readonly format: RequestCountsFormat;
  private readonly self: string;
  private readonly incarnation: string;
  private readonly leader: () => string;
  private readonly log: Logger;
  /** The newest push of each child edge, by child key. */
  private readonly edges = new Map<string, ReceivedPush>();
  /** Edges that the root allows this collector to include. */
  private granted: readonly ChildReport[] = [];
  /** At the root: the newest acceptable push of each collector. */
  private readonly collectors = new Map<string, ReceivedPush>();
  private readonly assignments = new ChildAssignments();
  private cluster: ClusterCounts | undefined;
  private encoded: EncodedCounts | undefined;
  private lastPushNumber = 0;
  private routesSentMs = -Infinity;
  private halfTripMs = 0;
  private readonly expedited = new Queue<true>();
  /** Number of pushes refused because their sketches have another format. */
  refusedPushes = 0;

  /** `self` is this daemon's peer address; `leader` returns the leader's, or an empty string if it is unknown. */
  constructor(
    runtime: Runtime,
    rpc: RpcEndpoint,
    format: RequestCountsFormat,
    self: string,
    incarnation: string,
    leader: () => string,
  ) {
    this.runtime = runtime;
    this.rpc = rpc;
    this.format = format;
    this.self = self;
    this.incarnation = incarnation;
    this.leader = leader;
    this.log = runtime.loggers.component("retry-budget");
    const handle = (request: PushRequest): PushResponse => this.handlePush(request);
    rpc.serve(rpcMethods.pushCounts, function* (request) {
      return handle(request);
    });
  }

  /** The cluster's counts last received, with their age and coverage. */
  get latest(): { counts: RequestCounts; ageMs: number; coverage: CountCoverage } | undefined {
    if (!this.cluster) return undefined;
    const { counts, atMs, coverage } = this.cluster;
    return { counts, ageMs: this.runtime.clock.nowMs() - atMs, coverage };
  }

  /** The status for operators. */
  get status(): { refused: number; coverage: CountCoverage | null } {
    return { refused: this.refusedPushes, coverage: this.latest?.coverage ?? null };
  }

  /** Pushes the merged counts to the root every `pushMs`, or earlier if a child requests it. */
  *run(pushMs: number): Task {
    const { clock } = this.runtime;
    for (;;) {
      const startedMs = clock.nowMs();
      yield* sleep(clock, EXPEDITED_PUSH_DELAY_MS);
      const expedited = yield* this.expedited.takeUntil(clock, startedMs + pushMs);
      const prepared = this.preparePush(expedited !== undefined);
      const leader = this.leader();
      if (!leader) continue;
      const request = {
        text: JSON.stringify(prepared.push),
        sketches: prepared.counts.encode(prepared.sentMs),
      };
      const isRoot = leader === this.self;
      const response = isRoot
        ? this.handlePush(request)
        : yield* this.rpc.call(leader, rpcMethods.pushCounts, request, pushMs);
      if (!response) continue;
      this.halfTripMs = isRoot ? 0 : (clock.nowMs() - prepared.sentMs) / 2;
      this.receive(response, prepared.includedPushes);
    }
  }

  private preparePush(isExpedited: boolean): PreparedPush {
    this.expire();
    const isGranted = (child: ChildReport): boolean =>
      this.granted.some((grantedChild) => isSameChild(grantedChild, child));
    const children = [...this.edges.values()].map(({ push }) => senderOf(push));
    const sentMs = this.runtime.clock.nowMs();
    const included = [...this.edges.values()].filter(({ push }) => isGranted(senderOf(push)));
    const withRoutes = sentMs - this.routesSentMs >= ROUTE_COUNTS_INTERVAL_MS;
    if (withRoutes) this.routesSentMs = sentMs;
    const counts = RequestCounts.merge(
      included.map((received) => received.counts),
      this.format,
      sentMs,
      withRoutes,
    );
    this.lastPushNumber += 1;
    const push: CountPush = {
      from: this.self,
      incarnation: this.incarnation,
      tier: "collector",
      push: this.lastPushNumber,
      parentSequence: 0,
      halfTripMs: this.halfTripMs,
      includes: children.filter(isGranted),
      wants: children.filter((child) => !isGranted(child)),
      isHurried: isExpedited,
    };
    const includedPushes = new Map(
      included.map((received) => [childKey(senderOf(received.push)), received.push.push]),
    );
    return { push, counts, includedPushes, sentMs };
  }

  private receive(response: PushResponse, includedPushes: ReadonlyMap<string, number>): void {
    const { taken, granted, coverage } = readAggregatedCounts(response.text);
    if (taken !== "") return;
    this.granted = granted;
    const nowMs = this.runtime.clock.nowMs();
    this.cluster = {
      counts: RequestCounts.decode(
        response.sketches,
        this.format,
        nowMs,
        this.halfTripMs,
      ).withRoutesOf(this.cluster?.counts),
      atMs: nowMs,
      coverage,
      includedPushes,
    };
  }

  private handlePush(request: PushRequest): PushResponse {
    const nowMs = this.runtime.clock.nowMs();
    let received: ReceivedPush;
    try {
      const push = readCountPush(request.text);
      const counts = RequestCounts.decode(request.sketches, this.format, nowMs, push.halfTripMs);
      received = { push, counts, atMs: nowMs };
    } catch (error) {
      if (!(error instanceof SketchMismatchError)) throw error;
      this.refusedPushes += 1;
      this.log.warn("sketch refused", { why: error.message });
      const refusal: AggregatedCounts = {
        taken: error.message,
        granted: [],
        coverage: NO_COVERAGE,
      };
      return { text: JSON.stringify(refusal), sketches: new Uint8Array() };
    }
    return received.push.tier === "edge"
      ? this.handleEdge(received)
      : this.handleCollector(received);
  }

  private handleEdge(received: ReceivedPush): PushResponse {
    const { push, counts } = received;
    const key = childKey(senderOf(push));
    const previous = this.edges.get(key);
    if (!previous || previous.push.push <= push.push)
      this.edges.set(key, { ...received, counts: counts.withRoutesOf(previous?.counts) });
    if (push.isHurried) this.expedited.putIfEmpty(true);
    const includedPush = this.cluster?.includedPushes.get(key);
    const { bytes, atMs } = this.encodeCluster(counts.hasRoutes);
    const response: AggregatedCounts = {
      taken: "",
      granted: [],
      ...(includedPush === undefined ? {} : { includedPush }),
      coverage: this.cluster?.coverage ?? NO_COVERAGE,
      sinceMs: this.runtime.clock.nowMs() - atMs,
    };
    return { text: JSON.stringify(response), sketches: bytes };
  }

  private encodeCluster(withRoutes: boolean): EncodedCounts {
    const source = this.cluster?.counts;
    if (this.encoded?.source === source && this.encoded?.withRoutes === withRoutes)
      return this.encoded;
    const atMs = this.runtime.clock.nowMs();
    const bytes = (source ?? new RequestCounts(this.format)).encode(atMs, withRoutes);
    this.encoded = { source, withRoutes, atMs, bytes };
    return this.encoded;
  }

  private handleCollector(received: ReceivedPush): PushResponse {
    const { push, counts } = received;
    const nowMs = this.runtime.clock.nowMs();
    this.expire();
    const { granted, isAcceptable } = this.assignments.decide(
      push,
      (collector, child) => this.includes(collector, child),
      nowMs,
    );
    const previous = this.collectors.get(push.from);
    if (isAcceptable)
      this.collectors.set(push.from, {
        ...received,
        counts: counts.withRoutesOf(previous?.counts),
      });
    const merged = RequestCounts.merge(
      [...this.collectors.values()].map((collectorPush) => collectorPush.counts),
      this.format,
      nowMs,
      counts.hasRoutes,
    );
    const response: AggregatedCounts = { taken: "", granted, coverage: this.coverage(nowMs) };
    return { text: JSON.stringify(response), sketches: merged.encode(nowMs) };
  }

  /** Whether a collector's newest acceptable push includes a child. */
  private includes(collector: string, child: ChildReport): boolean {
    const included = this.collectors.get(collector)?.push.includes ?? [];
    return included.some((includedChild) => isSameProcess(includedChild, child));
  }

  private coverage(nowMs: number): CountCoverage {
    const received = [...this.collectors.values()];
    return {
      edges: received.reduce((sum, { push }) => sum + push.includes.length, 0),
      oldestMs: Math.max(0, ...received.map(({ atMs }) => nowMs - atMs)),
    };
  }

  /** Drops pushes and assignments that are older than the sketches' window. */
  private expire(): void {
    const sinceMs = this.runtime.clock.nowMs() - this.format.attempts.windowMs;
    for (const received of [this.edges, this.collectors])
      for (const [key, { atMs }] of received) if (atMs < sinceMs) received.delete(key);
    this.assignments.expire(sinceMs);
  }
}
