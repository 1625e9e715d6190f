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
  readonly clusterView: ClusterView;
  private readonly runtime: Runtime;
  private readonly forwarder: CommandForwarder;
  private readonly edgeCounts: EdgeCounts;
  private readonly pollMs: number;
  private readonly pollWaitMs: number;
  /** When the directory last changed here. */
  directoryChanges = 0;

  constructor(runtime: Runtime, place: DaemonPlace, seeds: readonly string[], bounds: Bounds) {
    const incarnation = Runtime.nonce(runtime);
    const rpc = new RpcEndpoint(runtime, place.peer);
    const budget = new RetryBudget(bounds.budget);
    const loadBalancer = new LoadBalancer(place.zone, () => runtime.random());
    this.runtime = runtime;
    this.pollMs = bounds.pollMs;
    this.pollWaitMs = bounds.pollWaitMs;
    this.forwarder = new CommandForwarder(runtime, rpc, () => seeds);
    this.clusterView = new ClusterView(
      runtime,
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
    this.clusterView.onEndpoints = (registrations) => {
      this.directoryChanges += 1;
      loadBalancer.setBackends(registrations, runtime.clock.nowMs());
    };
    this.edgeCounts = new EdgeCounts(
      runtime,
      rpc,
      bounds.counts,
      this.clusterView,
      { machine: place.machine, incarnation, zone: place.zone },
      bounds.budget,
    );
  }

  /** Begins to poll and to push. */
  start(): void {
    Runtime.start(this.runtime, "contract", this.clusterView.run(this.pollMs, this.pollWaitMs));
    Runtime.start(this.runtime, "zone", this.edgeCounts.run(pushMs));
  }

  /** Which part of the fleet its counts cover. */
  get coverage(): number {
    return this.edgeCounts.latest?.coverage.edges ?? 0;
  }

  /** Has the leader carry out an order. */
  *order(command: Command): Task<string | undefined> {
    return yield* this.forwarder.command(command, noticeWaitMs);
  }

  /** Hears a back end's announcement once, as the operators' port does; tells whether it is known. */
  *hear(backend: BackendAddress): Task<boolean> {
    if (this.clusterView.acceptHeartbeat({ ...backend, warmth: 1 })) return true;
    return (
      (yield* this.order({
        kind: "announce",
        ...backend,
        warmth: 1,
        seen: Math.max(0, this.clusterView.directorySequence),
      })) !== undefined
    );
  }
}
