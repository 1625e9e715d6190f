/** Assembles a daemon from the replicated log, the control plane, the proxy and the admin API, by its roles. */
import { CommandForwarder } from "../cluster-view/command-forwarder.js";
import type { RouteTable } from "../cluster-view/route-table.js";
import type { DaemonInfo } from "../control-protocol/watch-request.js";
import { ControlPlane } from "../control-plane/control-plane.js";
import { connectionPoolKey, ClusterView } from "../cluster-view/cluster-view.js";
import type { BackendClient } from "../proxy/upstream/backend-client.js";
import { defaultHeaderNames } from "../proxy/header-names.js";
import { HttpProxy } from "../proxy/http-proxy.js";
import { ExpiredLeasePolicy } from "../proxy/expired-lease-policy.js";
import { OutcomeReplicator } from "../proxy/idempotency/outcome-replicator.js";
import { OutcomeCache } from "../proxy/idempotency/outcome-cache.js";
import { rpcMethods } from "../rpc/rpc-method.js";
import { RpcEndpoint } from "../rpc/rpc-endpoint.js";
import type { ConfigArchive } from "../admin/config-archive.js";
import { AdminApi } from "../admin/admin-api.js";
import { StateMachine } from "../state/state-machine.js";
import { historyQuotaBytes } from "../replication/history/history-quota.js";
import { ClusterBootstrap } from "../replication/bootstrap/cluster-bootstrap.js";
import type { NodeLocation } from "../replication/bootstrap/node-location.js";
import { ReplicationNode } from "../replication/replication-node.js";
import { LogStore } from "../replication/log/log-store.js";
import { RetryQuotas } from "../retry-budget/retry-quotas.js";
import { RetryBudget } from "../retry-budget/retry-budget.js";
import { CountAggregator } from "../retry-budget/count-aggregator.js";
import { EdgeCounts } from "../retry-budget/edge-counts.js";
import { LoadBalancer } from "../load-balancing/load-balancer.js";
import { type Bounds, deriveBounds } from "./bounds.js";
import { readHeapUsage, type RetainedAmounts } from "./memory-usage.js";
import type { DaemonOptions, IncomingAdminRequest, IncomingRequest } from "./daemon-options.js";
import { sleep } from "../runtime/clock.js";
import { createLinkPacers, type LinkPacer } from "../runtime/link-pacer.js";
import type { Logger } from "../runtime/logger.js";
import { type Settings, rolesOf, type Role } from "./settings.js";
import { EventStream } from "../runtime/event-stream.js";
import type { Task } from "../runtime/task.js";
import { type Runtime, randomNonce, startTask } from "../runtime/runtime.js";

/** Interval between pushes of request counts to their aggregator. */
const COUNTS_PUSH_INTERVAL_MS = 2000;
/** Interval at which a draining daemon checks whether requests are still unfinished. */
const DRAIN_CHECK_INTERVAL_MS = 20;
const DEFAULT_TOLERANCE = { machines: 1, zones: 0 };

/** The daemon of one machine. */
export class Daemon {
  /** Requests to the proxy, as they arrive. */
  readonly clientRequests = new EventStream<IncomingRequest>();
  /** Requests to the admin API, as they arrive. */
  readonly adminRequests = new EventStream<IncomingAdminRequest>();
  private readonly runtime: Runtime;
  private readonly settings: Settings;
  private readonly bounds: Bounds;
  private readonly archive: ConfigArchive | undefined;
  /** A random id of this process; a restart changes it. */
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
  private readonly countAggregator: CountAggregator | undefined;
  private isDraining = false;
  /** Called with the limits on clients' requests whenever a config sets them. */
  onRequestLimits: (limits: RouteTable["limits"]) => void = () => undefined;

  constructor(runtime: Runtime, settings: Settings, options: DaemonOptions) {
    const bounds = deriveBounds(settings);
    this.runtime = runtime;
    this.settings = settings;
    this.archive = options.archive;
    this.bounds = bounds;
    this.budget = new RetryBudget(bounds.retryRules);
    this.incarnation = randomNonce(runtime);
    const pacers = options.pacers ?? createLinkPacers(runtime.clock, settings.limits?.linkMbps);
    this.rpc = new RpcEndpoint(runtime, settings.peers, undefined, pacers);
    this.seeds = settings.seeds;
    this.forwarder = this.createForwarder();
    const location = this.createNodeLocation();
    this.bootstrap = this.createBootstrap(location);
    this.clusterView = new ClusterView(
      runtime,
      this.forwarder,
      () => this.daemonInfo(),
      this.budget,
    );
    this.loadBalancer = new LoadBalancer(settings.zone, () => runtime.random());
    this.observeClusterView(options.backendClient);
    this.edgeCounts = this.createEdgeCounts();
    this.outcomes = this.createOutcomeReplicator();
    this.proxy = new HttpProxy(runtime, {
      clusterView: this.clusterView,
      backendClient: options.backendClient,
      forwarder: this.forwarder,
      budget: this.budget,
      counts: this.edgeCounts,
      loadBalancer: this.loadBalancer,
      incarnation: this.incarnation,
      headerNames: options.headerNames ?? defaultHeaderNames,
      expiredLeasePolicy: this.createExpiredLeasePolicy(),
      outcomes: this.outcomes,
      egress: pacers.egress,
    });
    if (this.roles.includes("recorder") && runtime.disk) {
      const stateMachine = new StateMachine();
      this.replicationNode = new ReplicationNode({
        runtime,
        rpc: this.rpc,
        location,
        timeouts: { ...bounds.replicationTimeouts, ...options.replicationTimeouts },
        stateMachine,
        store: new LogStore(runtime.disk, historyQuotaBytes(settings.limits?.diskMb)),
        bootstrap: this.bootstrap,
      });
      this.controlPlane = new ControlPlane(
        runtime,
        this.replicationNode,
        stateMachine,
        bounds.controlPlaneTimeouts,
        new RetryQuotas(bounds.retryRules, bounds.leaseMs),
      );
      this.archiveConfigs(stateMachine);
    }
    if (this.roles.includes("collector")) this.countAggregator = this.createCountAggregator();
    this.adminApi = this.createAdminApi(pacers.egress);
  }

  /** Starts all tasks, and returns once the daemon listens for its peers. */
  *start(): Task {
    const { runtime, controlPlane, replicationNode, countAggregator } = this;
    this.clientRequests.subscribe(runtime.clock.scheduler, ({ clientRequest, client }) =>
      startTask(runtime, "proxy", this.proxy.handle(clientRequest, client)),
    );
    this.adminRequests.subscribe(runtime.clock.scheduler, ({ clientRequest, respond }) =>
      startTask(runtime, "admin", this.adminApi.handle(clientRequest), respond),
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
      this.forwarder.serve(rpcMethods.command, leadership, (text) => controlPlane.command(text));
      this.forwarder.serve(rpcMethods.watch, leadership, (text) => controlPlane.watch(text));
    } else {
      this.forwarder.serveLeaderHints();
      this.bootstrap.serve();
    }
    this.outcomes.serve();
    yield* this.rpc.listen();
    if (replicationNode && controlPlane) {
      startTask(runtime, "replication", replicationNode.run());
      if (this.archive) startTask(runtime, "admin", this.archive.run());
      startTask(runtime, "control-plane", controlPlane.runConfigChanges());
      startTask(runtime, "control-plane", controlPlane.runMaintenance());
    }
    if (!replicationNode) startTask(runtime, "replication", this.bootstrap.run());
    startTask(
      runtime,
      "cluster-view",
      this.clusterView.run(this.bounds.watchIntervalMs, this.bounds.watchTimeoutMs),
    );
    if (countAggregator)
      startTask(runtime, "retry-budget", countAggregator.run(COUNTS_PUSH_INTERVAL_MS));
    if (this.roles.includes("edge"))
      startTask(runtime, "retry-budget", this.edgeCounts.run(COUNTS_PUSH_INTERVAL_MS));
    this.log.info("daemon started", { roles: this.roles, zone: this.settings.zone });
  }

  /** Stops accepting requests and waits until all requests in progress are finished or the drain timeout has passed. */
  *drain(closeToClients: () => void = () => undefined): Task {
    const startedMs = this.runtime.clock.nowMs();
    this.isDraining = true;
    this.log.info("drain started", { unfinishedRequests: this.proxy.pendingWorkCount });
    const { acceptRequestsMs, abandonMs, retireMs } = this.bounds;
    const { replicationNode } = this;
    if (replicationNode) {
      yield* replicationNode.yieldLeadership();
      startTask(this.runtime, "replication", replicationNode.leave(startedMs + acceptRequestsMs));
    }
    yield* sleep(this.runtime.clock, startedMs + acceptRequestsMs - this.runtime.clock.nowMs());
    this.proxy.close();
    closeToClients();
    while (this.proxy.pendingWorkCount > 0 && this.runtime.clock.nowMs() - startedMs < abandonMs)
      yield* sleep(this.runtime.clock, DRAIN_CHECK_INTERVAL_MS);
    if (this.proxy.pendingWorkCount > 0)
      this.log.warn("drain timeout exceeded", {
        unfinishedRequests: this.proxy.pendingWorkCount,
      });
    this.proxy.abandon();
    if (replicationNode) yield* replicationNode.retire(startedMs + retireMs);
    if (this.proxy.pendingWorkCount > 0) return;
    this.log.info("drain completed");
  }

  /** Replaces the peer addresses through which the daemon discovers others. */
  setSeeds(seeds: readonly string[]): void {
    this.seeds = seeds;
  }

  /** The active config of this daemon, and whether its lease is valid. */
  get servingState(): { configSequence: number; isGranted: boolean } {
    return {
      configSequence: this.clusterView.configSequence,
      isGranted: this.clusterView.holdsLease,
    };
  }

  /** The incarnation of this daemon: a random id of its process, which a restart changes. */
  get name(): string {
    return this.incarnation;
  }

  /** The fleet's latest counts of a service's requests and retries in the window, with this edge's own counts since then. */
  fleetRetryCounts(service: string): ReturnType<EdgeCounts["ofService"]> {
    return this.edgeCounts.ofService(service);
  }

  private get roles(): Role[] {
    return rolesOf(this.settings);
  }

  private get log(): Logger {
    return this.runtime.loggers.component("machine");
  }

  private createNodeLocation(): NodeLocation {
    const { peers, machine, zone, bootstrap, tolerate } = this.settings;
    return {
      self: peers,
      machine,
      zone,
      mayBootstrap: bootstrap ?? true,
      tolerate: tolerate ?? DEFAULT_TOLERANCE,
      seeds: () => this.seeds,
    };
  }

  private createForwarder(): CommandForwarder {
    const peerAddresses = () => [...this.seeds, ...this.bootstrap.knownNodes];
    return new CommandForwarder(this.runtime, this.rpc, peerAddresses);
  }

  private createBootstrap(location: NodeLocation): ClusterBootstrap {
    return new ClusterBootstrap(this.runtime, this.rpc, location, {
      leader: () => this.replicationNode?.leader || this.forwarder.leader,
      knownNodes: () => this.forwarder.members,
    });
  }

  private archiveConfigs(stateMachine: StateMachine): void {
    stateMachine.onApplied((command) => {
      if (command.kind === "config" && stateMachine.activeConfig)
        this.archive?.enqueue(stateMachine.activeConfig);
    });
  }

  /** Forwards updates of the cluster view to the components that depend on it. */
  private observeClusterView(backendClient: BackendClient): void {
    this.clusterView.onLease = () => this.proxy.notifyLease();
    this.clusterView.onPlacement = (placement) => this.loadBalancer.setPlacement(placement);
    this.clusterView.onConfig = ({ limits }) => this.onRequestLimits(limits);
    this.clusterView.onEndpoints = (registrations) => {
      backendClient.retainPools(new Set(registrations.map(connectionPoolKey)));
      this.loadBalancer.setBackends(registrations, this.runtime.clock.nowMs());
    };
  }

  private createEdgeCounts(): EdgeCounts {
    const { machine, zone } = this.settings;
    return new EdgeCounts(
      this.runtime,
      this.rpc,
      this.bounds.requestCountsFormat,
      this.clusterView,
      { machine, incarnation: this.incarnation, zone },
      this.bounds.retryRules,
    );
  }

  private createOutcomeReplicator(): OutcomeReplicator {
    return new OutcomeReplicator(
      this.rpc,
      new OutcomeCache(this.runtime.clock, this.bounds.controlPlaneTimeouts.keyMs),
      () => ({
        members: this.clusterView.collectors,
        leader: this.forwarder.leader,
        zone: this.settings.zone,
      }),
    );
  }

  private createCountAggregator(): CountAggregator {
    return new CountAggregator(
      this.runtime,
      this.rpc,
      this.bounds.requestCountsFormat,
      this.settings.peers,
      this.incarnation,
      () => this.replicationNode?.leader || this.forwarder.leader,
    );
  }

  private createAdminApi(egress: LinkPacer): AdminApi {
    return new AdminApi(this.runtime, {
      forwarder: this.forwarder,
      clusterView: this.clusterView,
      loadBalancer: this.loadBalancer,
      egress,
      ownAddress: this.settings.operators,
      daemon: {
        status: () => this.status(),
        notReadyReason: () => this.notReadyReason(),
        counts: () => this.countAggregator?.latest ?? this.edgeCounts.latest,
      },
      changeTimeoutMs: this.bounds.changeTimeoutMs,
      retryRules: this.bounds.retryRules,
    });
  }

  private createExpiredLeasePolicy(): ExpiredLeasePolicy {
    const { forwarder, rpc } = this;
    const members = {
      get replicas() {
        return forwarder.members;
      },
      isUnreachable: (member: string, sinceMs: number) => rpc.isUnreachable(member, sinceMs),
    };
    return new ExpiredLeasePolicy(this.runtime.clock, members, this.bounds.values);
  }

  private daemonInfo(): DaemonInfo {
    const { machine, zone, peers, operators } = this.settings;
    return {
      name: machine,
      zone,
      roles: this.roles,
      peer: peers,
      incarnation: this.incarnation,
      draining: this.isDraining,
      operators,
    };
  }

  private notReadyReason(): string {
    if (this.isDraining) return "draining";
    if (!this.clusterView.holdsLease) return "no valid lease";
    return "";
  }

  /** What this daemon retains in memory. */
  get retained(): RetainedAmounts {
    return {
      log: this.replicationNode?.retained,
      outcomeBytes: this.outcomes.storedBytes,
      requests: this.proxy.activeRequestCount,
    };
  }

  private doorStatus(): Record<string, unknown> {
    const capacities = Object.fromEntries(this.budget.capacities);
    return { inHand: this.proxy.activeRequestCount, ...this.proxy.counters, capacities };
  }

  private status(): Record<string, unknown> {
    return {
      ...this.daemonInfo(),
      ready: this.notReadyReason() === "",
      granted: this.clusterView.holdsLease,
      configSequence: this.clusterView.configSequence,
      polls: this.clusterView.watchRequests,
      grants: this.clusterView.leaseRenewals,
      droppedFrames: this.rpc.protocolViolations,
      record: this.replicationNode?.status ?? null,
      memory: { ...readHeapUsage(), retained: this.retained },
      door: this.roles.includes("edge") ? this.doorStatus() : null,
      collector: this.countAggregator?.status ?? null,
    };
  }
}
