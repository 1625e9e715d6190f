import { CommandForwarder } from "../../src/cluster-view/command-forwarder.js";
import type { Command } from "../../src/control-protocol/command.js";
import { ClusterView } from "../../src/cluster-view/cluster-view.js";
import { RpcEndpoint } from "../../src/rpc/rpc-endpoint.js";
import type { Bounds } from "../../src/daemon/bounds.js";
import type { Task } from "../../src/runtime/task.js";
import { Runtime } from "../../src/runtime/runtime.js";
import { RetryBudget } from "../../src/retry-budget/retry-budget.js";
import { EdgeCounts } from "../../src/retry-budget/edge-counts.js";
import { LoadBalancer } from "../../src/load-balancing/load-balancer.js";

/** Name, zone and peer address of a polling daemon. */
export interface DaemonPlace {
  readonly machine: string;
  readonly zone: string;
  readonly peer: string;
}

/** A backend, as it registers itself. */
export interface BackendAddress {
  readonly address: string;
  readonly service: string;
  readonly zone: string;
}

const pushMs = 2000;
const noticeWaitMs = 900;

/** The control half of an edge: it polls the leader for views and pushes its request counts, and serves no requests. */
export class PollingDaemon {
  readonly view: ClusterView;
  private readonly world: Runtime;
  private readonly forwarder: CommandForwarder;
  private readonly edgeCounts: EdgeCounts;
  private readonly pollMs: number;
  private readonly pollWaitMs: number;
  /** When the directory last changed here. */
  directoryChanges = 0;

  constructor(world: Runtime, place: DaemonPlace, seeds: readonly string[], bounds: Bounds) {
    const incarnation = Runtime.nonce(world);
    const link = new RpcEndpoint(world, place.peer);
    const budget = new RetryBudget(bounds.budget);
    const shares = new LoadBalancer(place.zone, () => world.random());
    this.world = world;
    this.pollMs = bounds.pollMs;
    this.pollWaitMs = bounds.pollWaitMs;
    this.forwarder = new CommandForwarder(world, link, () => seeds);
    this.view = new ClusterView(
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
    Runtime.start(this.world, "contract", this.view.own(this.pollMs, this.pollWaitMs));
    Runtime.start(this.world, "zone", this.edgeCounts.pushing(pushMs));
  }

  /** Which part of the fleet its counts cover. */
  get coverage(): number {
    return this.edgeCounts.latest?.coverage.edges ?? 0;
  }

  /** Has the leader carry out an order. */
  *order(order: Command): Task<string | undefined> {
    return yield* this.forwarder.command(order, noticeWaitMs);
  }

  /** Hears a back end's announcement once, as the operators' port does; tells whether it is known. */
  *hear(backEnd: BackendAddress): Task<boolean> {
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
}
