/** A daemon's view of the cluster: the active configuration, the registered endpoints, the control plane's members and the serving lease. */
import { EMPTY_CONFIG } from "../configuration/config.js";
import {
  type WatchRequest,
  readLeasedView,
  type DaemonInfo,
} from "../control-protocol/watch-request.js";
import type { ControlPlanePeers, LeasedView } from "../control-protocol/leased-view.js";
import type { EdgePlacement } from "../control-protocol/edge-placement.js";
import type { Logger } from "../runtime/logger.js";
import type { Runtime } from "../runtime/runtime.js";
import { StepTimer } from "../runtime/step-timer.js";
import type { Task } from "../runtime/task.js";
import type { Registration } from "../state/registration.js";
import type { CommandForwarder } from "./command-forwarder.js";
import { ConfigReplica } from "./config-replica.js";
import { EndpointIndex } from "./endpoint-index.js";
import { EndpointReplica } from "./endpoint-replica.js";
import {
  HeartbeatTracker,
  type AcceptedHeartbeat,
  type BackendHeartbeat,
  type KnownRegistration,
} from "./heartbeat-tracker.js";
import type { RetryCapacities } from "./retry-capacities.js";
import { RetryCapacityReplica } from "./retry-capacity-replica.js";
import { RouteTable } from "./route-table.js";
import { ServingLease } from "./serving-lease.js";
import { DEFAULT_WATCH_TIMEOUT_MS, WatchLoop, type PreparedWatch } from "./watch-loop.js";

const isSamePlacement = (a: EdgePlacement | undefined, b: EdgePlacement): boolean =>
  a?.count === b.count && a.zoneIndex === b.zoneIndex && a.zoneCount === b.zoneCount;

/** A daemon's view of the cluster, which watch requests to the leader keep up to date. */
export class ClusterView {
  private readonly forwarder: CommandForwarder;
  private readonly machine: () => DaemonInfo;
  private readonly log: Logger;
  private readonly clock: Runtime["clock"];
  private readonly stepTimer: StepTimer;
  private readonly lease: ServingLease;
  private readonly watchLoop: WatchLoop;
  private readonly endpoints = new EndpointReplica();
  private readonly index = new EndpointIndex();
  private readonly heartbeats = new HeartbeatTracker();
  private readonly config = new ConfigReplica();
  private readonly retryCapacities: RetryCapacityReplica;
  /** Names of services and routes by id, including those that are no longer configured. */
  private readonly namesById = new Map<number, string>();
  private lastSentMs = -Infinity;
  private membersDigest = "";
  private placement: EdgePlacement | undefined;
  /** Called with all registrations after each change. */
  onEndpoints: (registrations: readonly Registration[]) => void = () => undefined;
  /** Called when the daemon becomes able to serve: it holds a lease and has a configuration. */
  onLease: () => void = () => undefined;
  /** Called with this edge's placement among all edges after each change. */
  onPlacement: (placement: EdgePlacement) => void = () => undefined;
  /** Called with the routes of each configuration that becomes active on this daemon. */
  onConfig: (routeTable: RouteTable) => void = () => undefined;
  /** Routes of the active configuration. */
  routeTable = new RouteTable(EMPTY_CONFIG);
  collectors: ControlPlanePeers["collectors"] = [];
  /** Admin addresses of the members of the replicated log, without the leader's. */
  memberAdminAddresses: readonly string[] = [];
  /** Number of watch requests sent. */
  watchRequests = 0;
  /** Number of watch responses that renewed the lease. */
  leaseRenewals = 0;

  constructor(
    runtime: Runtime,
    forwarder: CommandForwarder,
    machine: () => DaemonInfo,
    budget: RetryCapacities,
  ) {
    this.forwarder = forwarder;
    this.machine = machine;
    this.clock = runtime.clock;
    this.log = runtime.loggers.component("cluster-view");
    this.stepTimer = new StepTimer(runtime.clock, this.log);
    this.lease = new ServingLease(runtime.clock);
    this.retryCapacities = new RetryCapacityReplica(budget);
    this.watchLoop = new WatchLoop(runtime, forwarder, {
      prepareWatch: (sentMs) => this.prepareWatch(sentMs),
      onWatchEnded: () => this.checkExpiry(),
    });
    budget.onNearlyExhausted = () => this.watchLoop.expedite();
  }

  /** Whether the daemon holds its serving lease, which proves that its view is recent. */
  get holdsLease(): boolean {
    return this.lease.isHeld;
  }

  /** Sequence of the newest endpoint change in this view. */
  get endpointsSequence(): number {
    return this.endpoints.sequence;
  }

  /** Sequence of the active configuration; 0 before the first is received. */
  get configSequence(): number {
    return this.config.sequence;
  }

  private get canServe(): boolean {
    return this.holdsLease && this.configSequence > 0;
  }

  /** Milliseconds since the serving lease expired; 0 while it is held. */
  get expiredForMs(): number {
    return this.lease.expiredForMs;
  }

  /** Milliseconds until the serving lease expires; negative after that. */
  get leaseRemainingMs(): number {
    return this.lease.remainingMs;
  }

  /** Active backends of a service: registered, not leaving, and without a refused connection. */
  backendsOf(service: string): readonly Registration[] {
    return this.index.backendsOf(service);
  }

  /** Whether a registration is active in this view. */
  isRegistered(registration: Registration): boolean {
    return this.index.isActive(registration.number);
  }

  /** The registration of an instance, even if it is leaving. */
  registrationOf(instance: string): Registration | undefined {
    return this.index.findByInstance(instance);
  }

  /** Names of the services that have active backends. */
  get services(): string[] {
    return this.index.services;
  }

  /**
   * The response to a heartbeat that changes nothing in the registration, or `undefined` if the leader has to decide. The next watch
   * request reports the accepted heartbeat to the leader.
   */
  acceptHeartbeat(heartbeat: BackendHeartbeat): KnownRegistration | undefined {
    const registration = this.index.findByAddress(heartbeat.address);
    return this.heartbeats.accept(heartbeat, {
      registration,
      mayAccept: this.holdsLease && registration !== undefined && this.isRegistered(registration),
      nowMs: this.clock.nowMs(),
    });
  }

  /** The id that the replicated log assigned to a service or route. */
  idOf(kind: "service" | "route", name: string): number | undefined {
    return this.config.ids.get(`${kind} ${name}`);
  }

  /** The name of a service or route by its id; it remains known after its removal from the configuration. */
  nameOf(id: number): string | undefined {
    return this.namesById.get(id);
  }

  /** Marks a registration whose address refused a connection as inactive; the next watch request reports it. */
  markRefused(registration: Registration): void {
    if (this.index.markRefused(registration)) this.rebuildIndex();
  }

  /** Sends a watch request every `intervalMs` while the daemon runs; without a response within `timeoutMs`, sends another one. */
  run(intervalMs: number, timeoutMs = DEFAULT_WATCH_TIMEOUT_MS): Task {
    return this.watchLoop.run(intervalMs, timeoutMs);
  }

  private prepareWatch(sentMs: number): PreparedWatch {
    this.watchRequests += 1;
    if (this.lease.isOverdue(sentMs, this.retryCapacities.graceMs))
      this.retryCapacities.clear(sentMs);
    this.heartbeats.expire(sentMs);
    const reported = this.heartbeats.snapshot();
    const text = JSON.stringify(this.watchRequest(reported, sentMs));
    this.lastSentMs = sentMs;
    return { text, receive: (response) => this.receive(response, sentMs, reported) };
  }

  private watchRequest(
    reported: ReadonlyMap<number, AcceptedHeartbeat>,
    nowMs: number,
  ): WatchRequest {
    return {
      machine: this.machine(),
      configSequence: this.config.knownSequence,
      directorySequence: this.endpoints.knownSequence,
      grantNumber: this.retryCapacities.allotmentNumber,
      capacities: this.retryCapacities.capacities,
      wished: this.retryCapacities.requested(this.services, nowMs),
      membersDigest: this.membersDigest,
      refused: this.index.refused.map(({ address, number }) => ({ address, number })),
      heard: [...reported].map(([number, { order }]) => ({ number, order })),
    };
  }

  /** Handles a response, even after its request's timeout: the lease starts when the request was sent, so a late response is safe. */
  private receive(
    response: string,
    sentMs: number,
    reported: ReadonlyMap<number, AcceptedHeartbeat>,
  ): void {
    const view = readLeasedView(response);
    if (!view.granted) return;
    this.applyView(view, sentMs);
    this.heartbeats.acknowledge(reported);
    if (!this.holdsLease) this.watchLoop.expedite();
  }

  private checkExpiry(): void {
    if (this.lease.markExpired()) this.log.warn("lease expired");
  }

  private applyView(view: LeasedView, sentMs: number): void {
    if (
      view.configSequence < this.configSequence ||
      view.directorySequence < this.endpointsSequence
    ) {
      this.log.warn("outdated view refused", { sequence: view.configSequence });
      return;
    }
    const couldServe = this.canServe;
    if (!this.applyReplicas(view)) return;
    this.heartbeats.intervalMs = view.announceMs ?? this.heartbeats.intervalMs;
    if (view.members) this.applyMembers(view.members);
    if (view.place) this.applyPlacement(view.place);
    // A later request proves to the leader that this daemon didn't adopt the capacities of responses to earlier ones.
    if (sentMs === this.lastSentMs) this.retryCapacities.apply(view, this.clock.nowMs());
    this.lease.extend(sentMs + view.grantMs);
    if (!this.holdsLease) return;
    if (!couldServe && this.canServe) this.onLease();
    this.leaseRenewals += 1;
    if (this.lease.markAcquired())
      this.log.info("lease acquired", { sequence: view.configSequence });
  }

  /** Applies a view to the replicas; returns whether they are identical to the leader's. */
  private applyReplicas(view: LeasedView): boolean {
    const directory = this.stepTimer.run("copyDirectory", () => this.endpoints.apply(view));
    const config = this.stepTimer.run("copyConfig", () => this.config.apply(view));
    if (directory === "changed")
      this.stepTimer.run("takeDirectory", () => this.activateEndpoints());
    if (config === "changed") this.stepTimer.run("takeConfig", () => this.activateConfig());
    if (directory !== "differs" && config !== "differs")
      return directory !== "outdated" && config !== "outdated";
    this.log.warn("replica differs from leader, full copy requested", {
      directory,
      config,
      sequence: view.configSequence,
    });
    return false;
  }

  private applyMembers({ digest, collectors, recorders, operators = [] }: ControlPlanePeers): void {
    this.memberAdminAddresses = operators;
    this.membersDigest = digest;
    this.collectors = collectors;
    this.forwarder.setMembers(recorders);
  }

  private applyPlacement(placement: EdgePlacement): void {
    if (isSamePlacement(this.placement, placement)) return;
    this.placement = placement;
    this.onPlacement(placement);
  }

  private activateConfig(): void {
    this.routeTable = new RouteTable(this.config.config, this.routeTable);
    for (const [name, id] of this.config.ids) this.namesById.set(id, name);
    this.onConfig(this.routeTable);
  }

  private activateEndpoints(): void {
    const { registrations } = this.endpoints;
    this.index.retainRefused(registrations);
    this.rebuildIndex();
    this.onEndpoints(registrations);
  }

  private rebuildIndex(): void {
    const { registrations } = this.endpoints;
    this.index.rebuild(registrations);
    this.heartbeats.limitOrders(
      registrations.length,
      (instance) => this.index.findByInstance(instance) !== undefined,
    );
  }
}

/** Key of a registration's connection pool. */
export const connectionPoolKey = (registration: Registration): string =>
  `${registration.address} ${registration.number}`;
