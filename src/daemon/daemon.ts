import { CommandForwarder } from "../cluster-view/command-forwarder.js";
import type { RouteTable } from "../cluster-view/route-table.js";
import type { DaemonInfo } from "../control-protocol/command.js";
import { ControlPlane } from "../control-plane/control-plane.js";
import { connectionPoolKey, ClusterView } from "../cluster-view/cluster-view.js";
import type { BackendClient } from "../proxy/upstream/backend-client.js";
import { HeaderNames } from "../proxy/header-names.js";
import { HttpProxy } from "../proxy/http-proxy.js";
import type { ClientConnection, ProxyRequest } from "../proxy/proxy-request.js";
import { ExpiredLeasePolicy } from "../proxy/expired-lease-policy.js";
import { OutcomeReplicator } from "../proxy/idempotency/outcome-replicator.js";
import { OutcomeCache } from "../proxy/idempotency/outcome-cache.js";
import type { ClientResponse } from "../proxy/request-outcome.js";
import { RpcMethod } from "../rpc/rpc-method.js";
import { RpcEndpoint } from "../rpc/rpc-endpoint.js";
import type { ConfigArchive } from "../admin/config-archive.js";
import { AdminApi } from "../admin/admin-api.js";
import { StateMachine } from "../state/state-machine.js";
import { historyQuotaBytes } from "../replication/history/history-quota.js";
import { ClusterBootstrap } from "../replication/bootstrap/cluster-bootstrap.js";
import type { NodeLocation } from "../replication/bootstrap/node-location.js";
import { ReplicationNode, type ReplicationTimeouts } from "../replication/replication-node.js";
import { LogStore } from "../replication/log/log-store.js";
import { RetryQuotas } from "../retry-budget/retry-quotas.js";
import { RetryBudget } from "../retry-budget/retry-budget.js";
import { CountAggregator } from "../retry-budget/count-aggregator.js";
import { EdgeCounts } from "../retry-budget/edge-counts.js";
import { LoadBalancer } from "../load-balancing/load-balancer.js";
import { Bounds } from "./bounds.js";
import { Clock } from "../runtime/clock.js";
import { LinkPacers } from "../runtime/link-pacer.js";
import type { Logger } from "../runtime/logger.js";
import { Settings, type Role } from "./settings.js";
import { EventStream } from "../runtime/event-stream.js";
import type { Task } from "../runtime/task.js";
import { Runtime } from "../runtime/runtime.js";

/** A caller's request as it arrives. */
export interface IncomingRequest {
  readonly clientRequest: ProxyRequest;
  readonly client: ClientConnection;
}

/** An operator's or back end's request as it arrives. */
export interface IncomingAdminRequest {
  readonly clientRequest: ProxyRequest;
  readonly give: (response: ClientResponse) => void;
}

/** What a daemon may be told besides its settings. */
export interface DaemonOptions {
  /** The back ends as this machine reaches them. */
  readonly backendClient: BackendClient;
  /** Where accepted configs are also kept, on a machine with a disk. */
  readonly archive?: ConfigArchive | undefined;
  /** The headers by which it speaks with callers and back ends. */
  readonly headerNames?: HeaderNames;
  /** Both directions of the machine's link, where its rate is to be kept. */
  readonly pacers?: LinkPacers;
  /** Waits of the record that differ from what the bounds make of them. */
  readonly waits?: Partial<ReplicationTimeouts>;
}

const pushMs = 2000;

/** One machine's daemon: its roles, the links to its peers, and what it serves. */
export class Daemon {
  readonly callers = new EventStream<IncomingRequest>();
  readonly operators = new EventStream<IncomingAdminRequest>();
  private readonly runtime: Runtime;
  private readonly settings: Settings;
  private readonly bounds: Bounds;
  private readonly roles: Role[];
  private readonly log: Logger;
  private readonly archive: ConfigArchive | undefined;
  private readonly incarnation: string;
  private readonly rpc: RpcEndpoint;
  private readonly forwarder: CommandForwarder;
  private readonly bootstrap: ClusterBootstrap;
  private seeds: readonly string[];
  private readonly budget: RetryBudget;
  private readonly clusterView: ClusterView;
  private readonly loadBalancer: LoadBalancer;
  private readonly edgeCounts: EdgeCounts;
  private readonly adminApi: AdminApi;
  readonly proxy: HttpProxy;
  private readonly outcomes: OutcomeReplicator;
  readonly replicationNode: ReplicationNode | undefined;
  private readonly controlPlane: ControlPlane | undefined;
  private readonly collector: CountAggregator | undefined;
  private draining = false;
  /** Hears what callers may send, whenever a config says so. */
  onLimits: (limits: RouteTable["limits"]) => void = () => undefined;

  constructor(runtime: Runtime, settings: Settings, options: DaemonOptions) {
    const bounds = Bounds.of(settings);
    this.runtime = runtime;
    this.settings = settings;
    this.archive = options.archive;
    this.bounds = bounds;
    this.budget = new RetryBudget(bounds.budget);
    this.roles = Settings.roles(settings);
    this.log = runtime.loggers.component("machine");
    this.incarnation = Runtime.nonce(runtime);
    const pacers = options.pacers ?? LinkPacers.of(runtime.clock, settings.limits?.linkMbps);
    this.rpc = new RpcEndpoint(runtime, settings.peers, undefined, pacers);
    this.seeds = settings.seeds;
    this.forwarder = new CommandForwarder(runtime, this.rpc, () => [
      ...this.seeds,
      ...this.bootstrap.recorders,
    ]);
    const location: NodeLocation = {
      self: settings.peers,
      machine: settings.machine,
      zone: settings.zone,
      founds: settings.bootstrap ?? true,
      tolerate: settings.tolerate ?? { machines: 1, zones: 0 },
      seeds: () => this.seeds,
    };
    this.bootstrap = new ClusterBootstrap(runtime, this.rpc, location, {
      leader: () => this.replicationNode?.leader || this.forwarder.leader,
      recorders: () => this.forwarder.members,
    });
    this.clusterView = new ClusterView(runtime, this.forwarder, () => this.machine(), this.budget);
    this.loadBalancer = new LoadBalancer(settings.zone, () => runtime.random());
    this.clusterView.onLease = () => this.proxy.leased();
    this.clusterView.onPlace = (place) => this.loadBalancer.setPlace(place);
    this.clusterView.onConfig = ({ limits }) => this.onLimits(limits);
    this.clusterView.onEndpoints = (registrations) => {
      options.backendClient.retainPools(new Set(registrations.map(connectionPoolKey)));
      this.loadBalancer.setBackends(registrations, runtime.clock.nowMs());
    };
    const self = { machine: settings.machine, incarnation: this.incarnation, zone: settings.zone };
    this.edgeCounts = new EdgeCounts(
      runtime,
      this.rpc,
      bounds.counts,
      this.clusterView,
      self,
      bounds.budget,
    );
    this.outcomes = new OutcomeReplicator(
      this.rpc,
      new OutcomeCache(runtime.clock, bounds.controlPlaneTimeouts.keyMs),
      () => ({
        members: this.clusterView.collectors,
        leader: this.forwarder.leader,
        zone: settings.zone,
      }),
    );
    this.proxy = new HttpProxy(runtime, {
      clusterView: this.clusterView,
      backendClient: options.backendClient,
      forwarder: this.forwarder,
      budget: this.budget,
      counts: this.edgeCounts,
      loadBalancer: this.loadBalancer,
      incarnation: this.incarnation,
      headerNames: options.headerNames ?? HeaderNames.own,
      lapsedLease: this.lapsedLease(),
      outcomes: this.outcomes,
      egress: pacers.egress,
    });
    if (this.roles.includes("recorder") && runtime.disk) {
      const stateMachine = new StateMachine();
      this.replicationNode = new ReplicationNode(
        runtime,
        this.rpc,
        location,
        { ...bounds.replicationTimeouts, ...options.waits },
        stateMachine,
        new LogStore(runtime.disk, historyQuotaBytes(settings.limits?.diskMb)),
        this.bootstrap,
      );
      this.controlPlane = new ControlPlane(
        runtime,
        this.replicationNode,
        stateMachine,
        bounds.controlPlaneTimeouts,
        new RetryQuotas(bounds.budget, bounds.leaseMs),
      );
      stateMachine.onApplied((command) => {
        if (command.kind === "config" && stateMachine.activeConfig)
          this.archive?.enqueue(stateMachine.activeConfig);
      });
    }
    if (this.roles.includes("collector"))
      this.collector = new CountAggregator(
        runtime,
        this.rpc,
        bounds.counts,
        settings.peers,
        this.incarnation,
        () => this.replicationNode?.leader || this.forwarder.leader,
      );
    this.adminApi = new AdminApi(runtime, {
      forwarder: this.forwarder,
      clusterView: this.clusterView,
      loadBalancer: this.loadBalancer,
      egress: pacers.egress,
      ownAddress: settings.operators,
      daemon: {
        status: () => this.status(),
        notReady: () => this.notReady(),
        counts: () => this.collector?.latest ?? this.edgeCounts.latest,
      },
      changeTimeoutMs: bounds.orderMs,
      retryRules: bounds.budget,
    });
  }

  /** Starts all tasks; ends once the daemon listens for its peers. */
  *start(): Task {
    const { runtime, controlPlane, replicationNode, collector } = this;
    this.callers.subscribe(runtime.clock.scheduler, ({ clientRequest, client }) =>
      Runtime.start(runtime, "door", this.proxy.handle(clientRequest, client)),
    );
    this.operators.subscribe(runtime.clock.scheduler, ({ clientRequest, give }) =>
      Runtime.start(runtime, "operator", this.adminApi.handle(clientRequest), give),
    );
    if (replicationNode && controlPlane) {
      const leadership = {
        get leads() {
          return replicationNode.status.role === "leader";
        },
        get leader() {
          return replicationNode.leader;
        },
      };
      this.forwarder.serve(RpcMethod.command, leadership, (text) => controlPlane.command(text));
      this.forwarder.serve(RpcMethod.poll, leadership, (text) => controlPlane.watch(text));
    } else {
      this.forwarder.serveWay();
      this.bootstrap.serve();
    }
    this.outcomes.serve();
    yield* this.rpc.listen();
    if (replicationNode && controlPlane) {
      Runtime.start(runtime, "record", replicationNode.run());
      if (this.archive) Runtime.start(runtime, "operator", this.archive.run());
      Runtime.start(runtime, "contract", controlPlane.runConfigChanges());
      Runtime.start(runtime, "contract", controlPlane.runMaintenance());
    }
    if (!replicationNode) Runtime.start(runtime, "record", this.bootstrap.run());
    Runtime.start(
      runtime,
      "contract",
      this.clusterView.run(this.bounds.pollMs, this.bounds.pollWaitMs),
    );
    if (collector) Runtime.start(runtime, "zone", collector.run(pushMs));
    if (this.roles.includes("edge")) Runtime.start(runtime, "zone", this.edgeCounts.run(pushMs));
    this.log.info("Runs.", { roles: this.roles, zone: this.settings.zone });
  }

  /** Finishes the work in hand and takes no more; ends when all is done or the time for it is over. */
  *drain(closeToCallers: () => void = () => undefined): Task {
    const startedMs = this.runtime.clock.nowMs();
    this.draining = true;
    this.log.info("Draining.", { inHand: this.proxy.unfinished });
    const { serveOnMs, abandonMs, retireMs } = this.bounds;
    const { replicationNode } = this;
    if (replicationNode) {
      yield* replicationNode.yieldLeadership();
      Runtime.start(this.runtime, "record", replicationNode.leave(startedMs + serveOnMs));
    }
    yield* Clock.sleep(this.runtime.clock, startedMs + serveOnMs - this.runtime.clock.nowMs());
    this.proxy.close();
    closeToCallers();
    while (this.proxy.unfinished > 0 && this.runtime.clock.nowMs() - startedMs < abandonMs)
      yield* Clock.sleep(this.runtime.clock, 20);
    if (this.proxy.unfinished > 0)
      this.log.warn("Stops with work unfinished; it is given up on.", {
        inHand: this.proxy.unfinished,
      });
    this.proxy.abandon();
    if (replicationNode) yield* replicationNode.retire(startedMs + retireMs);
    if (this.proxy.unfinished > 0) return;
    this.log.info("Drained.");
  }

  /** Peer addresses of other daemons, from now on. */
  setSeeds(seeds: readonly string[]): void {
    this.seeds = seeds;
  }

  /** The config this daemon serves by, and whether it may serve now. */
  get standing(): { configSequence: number; isGranted: boolean } {
    return {
      configSequence: this.clusterView.configSequence,
      isGranted: this.clusterView.holdsLease,
    };
  }

  /** The name of this process, which no other ever has. */
  get name(): string {
    return this.incarnation;
  }

  /** What the fleet's sketch tells this edge of a service's tries in the window, with its own since. */
  toldTries(service: string): ReturnType<EdgeCounts["ofService"]> {
    return this.edgeCounts.ofService(service);
  }

  private lapsedLease(): ExpiredLeasePolicy {
    const { forwarder, rpc } = this;
    const core = {
      get members() {
        return forwarder.members;
      },
      isOutOfReach: (member: string, sinceMs: number) => rpc.isUnreachable(member, sinceMs),
    };
    return new ExpiredLeasePolicy(this.runtime.clock, core, this.bounds.figures);
  }

  private machine(): DaemonInfo {
    const { machine, zone, peers, operators } = this.settings;
    return {
      name: machine,
      zone,
      roles: this.roles,
      peer: peers,
      incarnation: this.incarnation,
      draining: this.draining,
      operators,
    };
  }

  private notReady(): string {
    if (this.draining) return "draining";
    if (!this.clusterView.holdsLease) return "no fresh grant";
    return "";
  }

  private status(): Record<string, unknown> {
    return {
      ...this.machine(),
      ready: this.notReady() === "",
      granted: this.clusterView.holdsLease,
      configSequence: this.clusterView.configSequence,
      polls: this.clusterView.polls,
      grants: this.clusterView.grants,
      droppedFrames: this.rpc.droppedFrames,
      record: this.replicationNode?.status ?? null,
      door: this.roles.includes("edge")
        ? {
            inHand: this.proxy.inHand,
            ...this.proxy.tally,
            capacities: Object.fromEntries(this.budget.capacities),
          }
        : null,
      collector: this.collector
        ? { refused: this.collector.refused, coverage: this.collector.latest?.coverage ?? null }
        : null,
    };
  }
}
