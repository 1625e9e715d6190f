import {
  array,
  boolean,
  literal,
  number,
  object,
  optional,
  string,
  union,
  type Infer,
} from "superstruct";
import type { DecodedMessage, RpcEndpoint } from "../rpc/rpc-endpoint.js";
import { RpcMethod } from "../rpc/rpc-method.js";
import { Clock } from "../runtime/clock.js";
import { Queue } from "../runtime/queue.js";
import type { Logger } from "../runtime/logger.js";
import { fastValidator } from "../runtime/fast-validator.js";
import type { Task } from "../runtime/task.js";
import type { Runtime } from "../runtime/runtime.js";
import { RequestCounts, type RequestCountsFormat } from "./request-counts.js";
import { SketchMismatchError } from "../sketch/ecm-sketch.js";

/** How often routes travel along with tries. */
export const ROUTE_COUNTS_INTERVAL_MS = 10_000;

/** How long a hurried push waits after the last one. */
export const EXPEDITED_PUSH_MS = 250;

const childShape = object({ machine: string(), incarnation: string(), parentSequence: number() });

/** An edge as the tree counts it: a process, and how often it has changed its parent. */
export type ChildReport = Infer<typeof childShape>;

const pushShape = object({
  from: string(),
  incarnation: string(),
  tier: union([literal("edge"), literal("collector")]),
  push: number(),
  parentSequence: number(),
  halfTripMs: number(),
  /** A collector's children that its sketch holds, and those that it would like to hold. */
  includes: array(childShape),
  wants: array(childShape),
  /** Set where further tries are wished for, so that counts had better come soon. */
  isHurried: boolean(),
});

/** What goes up with a sketch. */
export type CountPush = Infer<typeof pushShape>;

const downShape = object({
  taken: string(),
  /** Children the root lets this collector hold. */
  granted: array(childShape),
  /** The child's last push that the returned sketch holds. */
  includedPush: optional(number()),
  coverage: object({ edges: number(), oldestMs: number() }),
  /** How long ago the returned sketch was made. */
  sinceMs: optional(number()),
});

/** What comes down with the fleet's sketch. */
export type AggregatedCounts = Infer<typeof downShape>;

const readDown = fastValidator(downShape);
const readPush = fastValidator(pushShape);

export const AggregatedCounts = {
  read: (text: string): AggregatedCounts => readDown(JSON.parse(text)),
};

interface Kept {
  push: CountPush;
  counts: RequestCounts;
  atMs: number;
}

interface FleetCounts {
  counts: RequestCounts;
  atMs: number;
  coverage: AggregatedCounts["coverage"];
  included: Map<string, number>;
}

const sameChild = (a: ChildReport, b: ChildReport): boolean =>
  a.machine === b.machine &&
  a.incarnation === b.incarnation &&
  a.parentSequence === b.parentSequence;

/** Merges the sketches of its children; at the leader it is the root, elsewhere it pushes to the root. */
export class CountAggregator {
  private readonly runtime: Runtime;
  private readonly rpc: RpcEndpoint;
  private readonly form: RequestCountsFormat;
  private readonly self: string;
  private readonly incarnation: string;
  private readonly leader: () => string;
  private readonly log: Logger;
  /** Edges that push here, by machine and process. */
  private readonly children = new Map<string, Kept>();
  private granted: ChildReport[] = [];
  /** At the root: what collectors pushed, and which collector counts which edge. */
  private readonly collectors = new Map<string, Kept>();
  private readonly countedBy = new Map<
    string,
    { child: ChildReport; collector: string; atMs: number }
  >();
  private fleet: FleetCounts | undefined;
  private pushes = 0;
  private routesMs = -Infinity;
  /** The fleet's counts as they go down to edges, made once for all of them. */
  private packed:
    | { of: RequestCounts | undefined; withRoutes: boolean; bytes: Uint8Array; atMs: number }
    | undefined;
  private halfTripMs = 0;
  private readonly nudge = new Queue<true>();
  /** Children refused for what they sent. */
  refused = 0;

  constructor(
    runtime: Runtime,
    rpc: RpcEndpoint,
    form: RequestCountsFormat,
    self: string,
    incarnation: string,
    leader: () => string,
  ) {
    this.runtime = runtime;
    this.rpc = rpc;
    this.form = form;
    this.self = self;
    this.incarnation = incarnation;
    this.leader = leader;
    this.log = runtime.loggers.component("traffic");
    rpc.serve(RpcMethod.push, (ask) => this.taking(ask));
  }

  /** The fleet's counts as last heard, and what they cover. */
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

  /** Merges and pushes at its own pace. */
  *run(pushMs: number): Task {
    for (;;) {
      const startedMs = this.runtime.clock.nowMs();
      yield* Clock.sleep(this.runtime.clock, EXPEDITED_PUSH_MS);
      const isHurried =
        (yield* this.nudge.takeUntil(this.runtime.clock, startedMs + pushMs)) !== undefined;
      this.forget();
      const children = [...this.children.values()].map(({ push }) => CountAggregator.childOf(push));
      const isGranted = (child: ChildReport): boolean =>
        this.granted.some((one) => sameChild(one, child));
      const nowMs = this.runtime.clock.nowMs();
      const held = [...this.children.values()].filter(({ push }) =>
        isGranted(CountAggregator.childOf(push)),
      );
      const withRoutes = nowMs - this.routesMs >= ROUTE_COUNTS_INTERVAL_MS;
      if (withRoutes) this.routesMs = nowMs;
      const merged = RequestCounts.merge(
        held.map(({ counts }) => counts),
        this.form,
        nowMs,
        withRoutes,
      );
      const included = new Map(
        held.map(({ push }) => [`${push.from} ${push.incarnation}`, push.push]),
      );
      this.pushes += 1;
      const push: CountPush = {
        from: this.self,
        incarnation: this.incarnation,
        tier: "collector",
        push: this.pushes,
        parentSequence: 0,
        halfTripMs: this.halfTripMs,
        includes: children.filter(isGranted),
        wants: children.filter((child) => !isGranted(child)),
        isHurried,
      };
      const leader = this.leader();
      if (!leader) continue;
      const ask = { text: JSON.stringify(push), sketches: merged.encode(nowMs) };
      const ret =
        leader === this.self
          ? this.take(ask)
          : yield* this.rpc.call(leader, RpcMethod.push, ask, pushMs);
      if (!ret) continue;
      this.halfTripMs = leader === this.self ? 0 : (this.runtime.clock.nowMs() - nowMs) / 2;
      const down = AggregatedCounts.read(ret.text);
      if (down.taken !== "") continue;
      this.granted = down.granted;
      this.fleet = {
        counts: RequestCounts.decode(
          ret.sketches,
          this.form,
          this.runtime.clock.nowMs(),
          this.halfTripMs,
        ).withRoutesOf(this.fleet?.counts),
        atMs: this.runtime.clock.nowMs(),
        coverage: down.coverage,
        included,
      };
    }
  }

  private static childOf({ from, incarnation, parentSequence }: CountPush): ChildReport {
    return { machine: from, incarnation, parentSequence };
  }

  private *taking(
    ask: DecodedMessage<typeof RpcMethod.push.request>,
  ): Task<DecodedMessage<typeof RpcMethod.push.response>> {
    return this.take(ask);
  }

  private take(
    ask: DecodedMessage<typeof RpcMethod.push.request>,
  ): DecodedMessage<typeof RpcMethod.push.response> {
    const nothing = { edges: 0, oldestMs: 0 };
    const nowMs = this.runtime.clock.nowMs();
    let kept: Kept;
    try {
      const push = readPush(JSON.parse(ask.text));
      kept = {
        push,
        atMs: nowMs,
        counts: RequestCounts.decode(ask.sketches, this.form, nowMs, push.halfTripMs),
      };
    } catch (error) {
      if (!(error instanceof SketchMismatchError)) throw error;
      this.refused += 1;
      this.log.warn("A child's sketch was refused.", { why: error.message });
      const down: AggregatedCounts = { taken: error.message, granted: [], coverage: nothing };
      return { text: JSON.stringify(down), sketches: new Uint8Array() };
    }
    return kept.push.tier === "edge" ? this.takeEdge(kept) : this.takeCollector(kept);
  }

  private takeEdge(kept: Kept): DecodedMessage<typeof RpcMethod.push.response> {
    const { push } = kept;
    const name = `${push.from} ${push.incarnation}`;
    const known = this.children.get(name);
    if (!known || known.push.push <= push.push)
      this.children.set(name, { ...kept, counts: kept.counts.withRoutesOf(known?.counts) });
    if (push.isHurried) this.nudge.putOnce(true);
    const fleet = this.fleet;
    const includedPush = fleet?.included.get(name);
    const down: AggregatedCounts = {
      taken: "",
      granted: [],
      ...(includedPush === undefined ? {} : { includedPush }),
      coverage: fleet?.coverage ?? { edges: 0, oldestMs: 0 },
    };
    const { bytes, atMs } = this.pack(fleet?.counts, kept.counts.hasRoutes);
    return {
      text: JSON.stringify({ ...down, sinceMs: this.runtime.clock.nowMs() - atMs }),
      sketches: bytes,
    };
  }

  private pack(
    of: RequestCounts | undefined,
    withRoutes: boolean,
  ): { bytes: Uint8Array; atMs: number } {
    if (this.packed && this.packed.of === of && this.packed.withRoutes === withRoutes)
      return this.packed;
    const atMs = this.runtime.clock.nowMs();
    this.packed = {
      of,
      withRoutes,
      atMs,
      bytes: (of ?? new RequestCounts(this.form)).encode(atMs, withRoutes),
    };
    return this.packed;
  }

  private takeCollector(kept: Kept): DecodedMessage<typeof RpcMethod.push.response> {
    const { push } = kept;
    const nowMs = this.runtime.clock.nowMs();
    this.forget();
    const granted: ChildReport[] = [];
    for (const child of [...push.includes, ...push.wants]) {
      const name = `${child.machine} ${child.incarnation}`;
      const counted = this.countedBy.get(name);
      const mine = counted?.collector === push.from;
      const moved =
        counted !== undefined && !mine && counted.child.parentSequence < child.parentSequence;
      const stillHeld =
        counted &&
        this.collectors
          .get(counted.collector)
          ?.push.includes.some(
            (one) => one.machine === child.machine && one.incarnation === child.incarnation,
          );
      if (counted === undefined || mine || (moved && !stillHeld)) {
        this.countedBy.set(name, { child, collector: push.from, atMs: nowMs });
        granted.push(child);
      } else if (moved) counted.child = { ...counted.child, parentSequence: -1 };
    }
    const revoked = push.includes.filter((child) => {
      const counted = this.countedBy.get(`${child.machine} ${child.incarnation}`);
      return counted?.collector !== push.from || counted.child.parentSequence === -1;
    });
    const former = this.collectors.get(push.from);
    const { hasRoutes } = kept.counts;
    if (revoked.length === 0)
      this.collectors.set(push.from, { ...kept, counts: kept.counts.withRoutesOf(former?.counts) });
    const merged = RequestCounts.merge(
      [...this.collectors.values()].map(({ counts }) => counts),
      this.form,
      nowMs,
      hasRoutes,
    );
    const edges = [...this.collectors.values()].reduce(
      (sum, one) => sum + one.push.includes.length,
      0,
    );
    const oldestMs = Math.max(0, ...[...this.collectors.values()].map(({ atMs }) => nowMs - atMs));
    const down: AggregatedCounts = {
      taken: "",
      granted: granted.filter((child) => !revoked.some((one) => sameChild(one, child))),
      coverage: { edges, oldestMs },
    };
    return { text: JSON.stringify(down), sketches: merged.encode(nowMs) };
  }

  private forget(): void {
    const oldMs = this.runtime.clock.nowMs() - this.form.tries.windowMs;
    for (const table of [this.children, this.collectors])
      for (const [name, { atMs }] of table) if (atMs < oldMs) table.delete(name);
    for (const [name, { atMs }] of this.countedBy) if (atMs < oldMs) this.countedBy.delete(name);
  }
}
