import { Forwarder } from "../contract/forwarder.js";
import type { Order } from "../contract/order.js";
import { View } from "../contract/view.js";
import { Link } from "../link/link.js";
import type { Bounds } from "../machine/bounds.js";
import { Clock } from "../runtime/clock.js";
import type { Task } from "../runtime/task.js";
import { World } from "../runtime/world.js";
import { RetryBudget } from "../traffic/retryBudget.js";
import { EdgeCounts } from "../traffic/edgeCounts.js";
import { LoadBalancer } from "../traffic/loadBalancer.js";

/** Where a hollow daemon stands. */
export interface HollowPlace {
  readonly machine: string;
  readonly zone: string;
  readonly peer: string;
}

/** One back end as it announces itself. */
export interface ScaleBackEnd {
  readonly address: string;
  readonly service: string;
  readonly zone: string;
}

const pushMs = 2000;
const countEveryMs = 100;
const noticeWaitMs = 900;
const workMs = 20;
const furtherPart = 0.01;

/** The control part of an edge: it polls, takes views and pushes counts, and never opens its door. */
export class HollowDaemon {
  readonly view: View;
  private readonly world: World;
  private readonly forwarder: Forwarder;
  private readonly edgeCounts: EdgeCounts;
  private readonly pollMs: number;
  private readonly pollWaitMs: number;
  private writes = 0;
  /** When the directory last changed here. */
  directoryChanges = 0;
  /** Keyed writes that were claimed and settled, and those that weren't. */
  readonly keyed = { settled: 0, failed: 0 };

  constructor(world: World, place: HollowPlace, seeds: readonly string[], bounds: Bounds) {
    const incarnation = World.nonce(world);
    const link = new Link(world, place.peer);
    const budget = new RetryBudget(bounds.budget);
    const shares = new LoadBalancer(place.zone, () => world.random());
    this.world = world;
    this.pollMs = bounds.pollMs;
    this.pollWaitMs = bounds.pollWaitMs;
    this.forwarder = new Forwarder(world, link, () => seeds);
    this.view = new View(
      world,
      this.forwarder,
      () => ({
        name: place.machine,
        zone: place.zone,
        roles: ["edge"],
        peer: place.peer,
        incarnation,
        draining: false,
      }),
      budget,
    );
    this.view.onDirectory = (contracts) => {
      this.directoryChanges += 1;
      shares.know(contracts, world.clock.nowMs());
    };
    this.edgeCounts = new EdgeCounts(
      world,
      link,
      bounds.counts,
      this.view,
      { machine: place.machine, incarnation, zone: place.zone },
      bounds.budget,
    );
  }

  /** Begins to poll and to push. */
  start(): void {
    World.start(this.world, "contract", this.view.own(this.pollMs, this.pollWaitMs));
    World.start(this.world, "zone", this.edgeCounts.pushing(pushMs));
  }

  /** Which part of the fleet its counts cover. */
  get coverage(): number {
    return this.edgeCounts.latest?.coverage.edges ?? 0;
  }

  /** Has the leader carry out an order. */
  *order(order: Order): Task<string | undefined> {
    return yield* this.forwarder.command(order, noticeWaitMs);
  }

  /** Hears a back end's announcement once, as the operators' port does; tells whether it is known. */
  *hear(backEnd: ScaleBackEnd): Task<boolean> {
    if (this.view.hear({ ...backEnd, warmth: 1 })) return true;
    return (
      (yield* this.order({
        kind: "announce",
        ...backEnd,
        warmth: 1,
        seen: Math.max(0, this.view.directorySequence),
      })) !== undefined
    );
  }

  /** Counts requests as if they came, for as long as `isOn` says. */
  *counting(perSecond: number, services: number, routes: number, isOn: () => boolean): Task {
    let owed = 0;
    while (isOn()) {
      yield* Clock.rest(this.world.clock, countEveryMs);
      owed += (perSecond * countEveryMs) / 1000;
      for (; owed >= 1; owed -= 1) {
        const route = this.view.numberOf(
          "route",
          `route-${Math.floor(routes * this.world.random() ** 4)}`,
        );
        if (route !== undefined) this.edgeCounts.countRoute(route);
        this.edgeCounts.countTry(
          `service-${Math.floor(services * this.world.random() ** 2)}`,
          this.world.random() < furtherPart,
        );
      }
    }
  }

  /** Claims and settles keys, as the door does for keyed writes, for as long as `isOn` says. */
  *writing(perSecond: number, isOn: () => boolean): Task {
    while (isOn()) {
      yield* Clock.rest(this.world.clock, -Math.log(1 - this.world.random()) * (1000 / perSecond));
      this.writes += 1;
      World.start(
        this.world,
        "contract",
        this.write(`${this.view.polls}-${this.writes}-${World.nonce(this.world)}`),
      );
    }
  }

  private *write(job: string): Task {
    const scope = job.padEnd(64, "0").slice(0, 64);
    const claimed = yield* this.order({ kind: "claim", scope, bodyHash: "a".repeat(64), job });
    if (claimed === undefined) {
      this.keyed.failed += 1;
      return;
    }
    yield* Clock.rest(this.world.clock, workMs);
    const settled = yield* this.order({
      kind: "release",
      scope,
      job,
    });
    if (settled === undefined) this.keyed.failed += 1;
    else this.keyed.settled += 1;
  }
}
