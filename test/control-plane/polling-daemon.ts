import { CommandForwarder } from "../../src/cluster-view/command-forwarder.js";
import type { Command } from "../../src/control-protocol/command.js";
import { ClusterView } from "../../src/cluster-view/cluster-view.js";
import { RpcEndpoint } from "../../src/rpc/rpc-endpoint.js";
import type { Bounds } from "../../src/daemon/bounds.js";
import type { Task } from "../../src/runtime/task.js";
import { type Runtime, randomNonce, startTask } from "../../src/runtime/runtime.js";
import { RetryBudget } from "../../src/retry-budget/retry-budget.js";
import { EdgeCounts } from "../../src/retry-budget/edge-counts.js";
import { LoadBalancer } from "../../src/load-balancing/load-balancer.js";

/** Name, zone and peer address of a polling daemon. */
export interface PollingDaemonInfo {
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

const PUSH_INTERVAL_MS = 2000;
const COMMAND_TIMEOUT_MS = 900;

/** The control part of an edge: it sends watch requests and pushes its request counts, and serves no requests. */
export class PollingDaemon {
  readonly clusterView: ClusterView;
  private readonly runtime: Runtime;
  private readonly forwarder: CommandForwarder;
  private readonly edgeCounts: EdgeCounts;
  private readonly pollMs: number;
  private readonly pollWaitMs: number;
  /** How often the registrations changed here. */
  endpointUpdates = 0;

  constructor(runtime: Runtime, info: PollingDaemonInfo, seeds: readonly string[], bounds: Bounds) {
    const incarnation = randomNonce(runtime);
    const rpc = new RpcEndpoint(runtime, info.peer);
    const budget = new RetryBudget(bounds.retryRules);
    const loadBalancer = new LoadBalancer(info.zone, () => runtime.random());
    this.runtime = runtime;
    this.pollMs = bounds.watchIntervalMs;
    this.pollWaitMs = bounds.watchTimeoutMs;
    this.forwarder = new CommandForwarder(runtime, rpc, () => seeds);
    this.clusterView = new ClusterView(
      runtime,
      this.forwarder,
      () => ({
        name: info.machine,
        zone: info.zone,
        roles: ["edge"],
        peer: info.peer,
        incarnation,
        draining: false,
      }),
      budget,
    );
    this.clusterView.onEndpoints = (registrations) => {
      this.endpointUpdates += 1;
      loadBalancer.setBackends(registrations, runtime.clock.nowMs());
    };
    this.edgeCounts = new EdgeCounts(
      runtime,
      rpc,
      bounds.requestCountsFormat,
      this.clusterView,
      { machine: info.machine, incarnation, zone: info.zone },
      bounds.retryRules,
    );
  }

  /** Starts the watch requests and the pushes. */
  start(): void {
    startTask(this.runtime, "contract", this.clusterView.run(this.pollMs, this.pollWaitMs));
    startTask(this.runtime, "zone", this.edgeCounts.run(PUSH_INTERVAL_MS));
  }

  /** How many edges the newest counts cover. */
  get coveredEdges(): number {
    return this.edgeCounts.latest?.coverage.edges ?? 0;
  }

  /** Sends a command to the leader; `undefined` where there was no response in time. */
  *command(command: Command): Task<string | undefined> {
    return yield* this.forwarder.command(command, COMMAND_TIMEOUT_MS);
  }

  /** Processes a backend's heartbeat, as the admin API does; returns whether the backend is registered. */
  *heartbeat(backend: BackendAddress): Task<boolean> {
    if (this.clusterView.acceptHeartbeat({ ...backend, warmth: 1 })) return true;
    return (
      (yield* this.command({
        kind: "announce",
        ...backend,
        warmth: 1,
        seen: Math.max(0, this.clusterView.endpointsSequence),
      })) !== undefined
    );
  }
}
