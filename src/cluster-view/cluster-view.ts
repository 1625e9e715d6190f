/** What a daemon knows of the cluster: configuration, endpoints and control plane, and its lease to serve by them. */
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

const isSamePlacement = (one: EdgePlacement | undefined, other: EdgePlacement): boolean =>
  one?.count === other.count &&
  one.zoneIndex === other.zoneIndex &&
  one.zoneCount === other.zoneCount;

/** A daemon's view of the cluster, brought up to date by watch requests to the leader. */
export class ClusterView {
  private readonly forwarder: CommandForwarder;
  private readonly machine: () => DaemonInfo;
  private readonly log: Logger;
  private readonly clock: Runtime["clock"];
  private readonly steps: StepTimer;
  private readonly lease: ServingLease;
  private readonly watchLoop: WatchLoop;
  private readonly endpoints = new EndpointReplica();
  private readonly index = new EndpointIndex();
  private readonly heartbeats = new HeartbeatTracker();
  private readonly config = new ConfigReplica();
  private readonly retryCapacities: RetryCapacityReplica;
  /** Names of services and routes by their numbers, also of those that are no longer in force. */
  private readonly names = new Map<number, string>();
  private lastSentMs = -Infinity;
  private membersDigest = "";
  private placement: EdgePlacement | undefined;
  /** Called with all registrations whenever they have changed. */
  onEndpoints: (registrations: readonly Registration[]) => void = () => undefined;
  /** Called when there is a lease and a configuration to serve by, where one was missing. */
  onLease: () => void = () => undefined;
  /** Called with this edge's placement among all edges whenever it has changed. */
  onPlacement: (placement: EdgePlacement) => void = () => undefined;
  /** Called with the routes of each configuration that comes into force here. */
  onConfig: (routeTable: RouteTable) => void = () => undefined;
  /** The routes of the configuration in force. */
  routeTable = new RouteTable(EMPTY_CONFIG);
  collectors: ControlPlanePeers["collectors"] = [];
  /** Admin addresses of members of the replicated log that don't lead. */
  memberAdminAddresses: readonly string[] = [];
  /** How many watch requests were sent, and how many responses renewed the lease. */
  watchRequests = 0;
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
    this.steps = new StepTimer(runtime.clock, this.log);
    this.lease = new ServingLease(runtime.clock);
    this.retryCapacities = new RetryCapacityReplica(budget);
    this.watchLoop = new WatchLoop(runtime, forwarder, {
      prepareWatch: (sentMs) => this.prepareWatch(sentMs),
      onWatchEnded: () => this.checkExpiry(),
    });
    budget.onNearlyExhausted = () => this.watchLoop.expedite();
  }

  /** Whether this daemon may serve now: its view is proven recent. */
  get holdsLease(): boolean {
    return this.lease.isHeld;
  }

  /** The newest change of the endpoints that is known here. */
  get endpointsSequence(): number {
    return this.endpoints.sequence;
  }

  /** The sequence of the configuration that is in force here; 0 for none yet. */
  get configSequence(): number {
    return this.config.sequence;
  }

  private get canServe(): boolean {
    return this.holdsLease && this.configSequence > 0;
  }

  /** Milliseconds since the lease to serve ended; 0 while it is in force. */
  get expiredForMs(): number {
    return this.lease.expiredForMs;
  }

  /** Milliseconds until the lease to serve ends; negative once it has. */
  get leaseRemainingMs(): number {
    return this.lease.remainingMs;
  }

  /** The registered backends of a service that aren't leaving. */
  backendsOf(service: string): readonly Registration[] {
    return this.index.backendsOf(service);
  }

  /** Whether a registration is still in force, as far as is known here. */
  isRegistered(registration: Registration): boolean {
    return this.index.isActive(registration.number);
  }

  /** The registration of an instance, which may be leaving. */
  registrationOf(instance: string): Registration | undefined {
    return this.index.findByInstance(instance);
  }

  /** Names of the services that have registered backends. */
  get services(): string[] {
    return this.index.services;
  }

  /** The response to a heartbeat that changes nothing, which the next watch request reports; `undefined` where the leader has to decide. */
  acceptHeartbeat(heartbeat: BackendHeartbeat): KnownRegistration | undefined {
    const registration = this.index.findByAddress(heartbeat.address);
    return this.heartbeats.accept(heartbeat, {
      registration,
      mayAccept: this.holdsLease && registration !== undefined && this.isRegistered(registration),
      nowMs: this.clock.nowMs(),
    });
  }

  /** The number that the replicated log assigned to a service or a route. */
  idOf(kind: "service" | "route", name: string): number | undefined {
    return this.config.ids.get(`${kind} ${name}`);
  }

  /** The name behind a number, also for a while after it went out of force. */
  nameOf(number: number): string | undefined {
    return this.names.get(number);
  }

  /** Notes that a registration's address refused a connection; the next watch request reports it. */
  markRefused(registration: Registration): void {
    if (this.index.markRefused(registration)) this.rebuildIndex();
  }

  /** Sends watch requests for as long as the daemon runs; one without a response within `waitMs` is sent again. */
  run(pollMs: number, waitMs = DEFAULT_WATCH_TIMEOUT_MS): Task {
    return this.watchLoop.run(pollMs, waitMs);
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

  /** Takes a response, which may come after its request's timeout: the lease counts from when the request was sent. */
  private receive(
    response: string,
    sentMs: number,
    reported: ReadonlyMap<number, AcceptedHeartbeat>,
  ): void {
    const view = readLeasedView(response);
    if (!view.granted) return;
    this.take(view, sentMs);
    this.heartbeats.acknowledge(reported);
    if (!this.holdsLease) this.watchLoop.expedite();
  }

  private checkExpiry(): void {
    if (this.lease.markExpired()) this.log.warn("lease expired");
  }

  private take(view: LeasedView, sentMs: number): void {
    if (
      view.configSequence < this.configSequence ||
      view.directorySequence < this.endpointsSequence
    ) {
      this.log.warn("outdated view refused", { sequence: view.configSequence });
      return;
    }
    const couldServe = this.canServe;
    if (!this.takeReplicas(view)) return;
    this.heartbeats.intervalMs = view.announceMs ?? this.heartbeats.intervalMs;
    if (view.members) this.takeMembers(view.members);
    if (view.place) this.takePlacement(view.place);
    // The leader takes a later request as proof that the capacities in responses to earlier ones weren't taken.
    if (sentMs === this.lastSentMs) this.retryCapacities.apply(view, this.clock.nowMs());
    this.lease.extend(sentMs + view.grantMs);
    if (!this.holdsLease) return;
    if (!couldServe && this.canServe) this.onLease();
    this.leaseRenewals += 1;
    if (this.lease.markAcquired())
      this.log.info("lease acquired", { sequence: view.configSequence });
  }

  /** Brings the replicas up to a view; returns whether they are what the leader has. */
  private takeReplicas(view: LeasedView): boolean {
    const directory = this.steps.run("copyDirectory", () => this.endpoints.apply(view));
    const config = this.steps.run("copyConfig", () => this.config.apply(view));
    if (directory === "changed") this.steps.run("takeDirectory", () => this.takeEndpoints());
    if (config === "changed") this.steps.run("takeConfig", () => this.takeConfig());
    if (directory !== "differs" && config !== "differs")
      return directory !== "outdated" && config !== "outdated";
    this.log.warn("replica differs from leader, full copy requested", {
      directory,
      config,
      sequence: view.configSequence,
    });
    return false;
  }

  private takeMembers({ digest, collectors, recorders, operators = [] }: ControlPlanePeers): void {
    this.memberAdminAddresses = operators;
    this.membersDigest = digest;
    this.collectors = collectors;
    this.forwarder.setMembers(recorders);
  }

  private takePlacement(placement: EdgePlacement): void {
    if (isSamePlacement(this.placement, placement)) return;
    this.placement = placement;
    this.onPlacement(placement);
  }

  private takeConfig(): void {
    this.routeTable = new RouteTable(this.config.config, this.routeTable);
    for (const [name, number] of this.config.ids) this.names.set(number, name);
    this.onConfig(this.routeTable);
  }

  private takeEndpoints(): void {
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

/** The name of the connection pool of one registration. */
export const connectionPoolKey = (registration: Registration): string =>
  `${registration.address} ${registration.number}`;
