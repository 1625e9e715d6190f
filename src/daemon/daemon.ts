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
  readonly job: ProxyRequest;
  readonly caller: ClientConnection;
}

/** An operator's or back end's request as it arrives. */
export interface IncomingAdminRequest {
  readonly job: ProxyRequest;
  readonly give: (ret: ClientResponse) => void;
}

/** What a daemon may be told besides its settings. */
export interface DaemonOptions {
  /** The back ends as this machine reaches them. */
  readonly backEnds: BackendClient;
  /** Where accepted configs are also kept, on a machine with a disk. */
  readonly archive?: ConfigArchive | undefined;
  /** The headers by which it speaks with callers and back ends. */
  readonly dialect?: HeaderNames;
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
  private readonly world: Runtime;
  private readonly settings: Settings;
  private readonly bounds: Bounds;
  private readonly roles: Role[];
  private readonly log: Logger;
  private readonly archive: ConfigArchive | undefined;
  private readonly incarnation: string;
  private readonly link: RpcEndpoint;
  private readonly forwarder: CommandForwarder;
  private readonly meeting: ClusterBootstrap;
  private seeds: readonly string[];
  private readonly budget: RetryBudget;
  private readonly view: ClusterView;
  private readonly shares: LoadBalancer;
  private readonly edgeCounts: EdgeCounts;
  private readonly desk: AdminApi;
  readonly door: HttpProxy;
  private readonly outcomes: OutcomeReplicator;
  readonly recorder: ReplicationNode | undefined;
  private readonly registry: ControlPlane | undefined;
  private readonly collector: CountAggregator | undefined;
  private draining = false;
  /** Hears what callers may send, whenever a config says so. */
  onLimits: (limits: RouteTable["limits"]) => void = () => undefined;

  constructor(world: Runtime, settings: Settings, options: DaemonOptions) {
    const bounds = Bounds.of(settings);
    this.world = world;
    this.settings = settings;
    this.archive = options.archive;
    this.bounds = bounds;
    this.budget = new RetryBudget(bounds.budget);
    this.roles = Settings.roles(settings);
    this.log = world.logbook.part("machine");
    this.incarnation = Runtime.nonce(world);
    const pacers = options.pacers ?? LinkPacers.of(world.clock, settings.limits?.linkMbps);
    this.link = new RpcEndpoint(world, settings.peers, undefined, pacers);
    this.seeds = settings.seeds;
    this.forwarder = new CommandForwarder(world, this.link, () => [
      ...this.seeds,
      ...this.meeting.recorders,
    ]);
    const place: NodeLocation = {
      self: settings.peers,
      machine: settings.machine,
      zone: settings.zone,
      founds: settings.bootstrap ?? true,
      tolerate: settings.tolerate ?? { machines: 1, zones: 0 },
      seeds: () => this.seeds,
    };
    this.meeting = new ClusterBootstrap(world, this.link, place, {
      leader: () => this.recorder?.leader || this.forwarder.leader,
      recorders: () => this.forwarder.recorders,
    });
    this.view = new ClusterView(world, this.forwarder, () => this.machine(), this.budget);
    this.shares = new LoadBalancer(settings.zone, () => world.random());
    this.view.onLease = () => this.door.leased();
    this.view.onPlace = (place) => this.shares.setPlace(place);
    this.view.onConfig = ({ limits }) => this.onLimits(limits);
    this.view.onDirectory = (contracts) => {
      options.backEnds.keepOnly(new Set(contracts.map(connectionPoolKey)));
      this.shares.know(contracts, world.clock.nowMs());
    };
    const self = { machine: settings.machine, incarnation: this.incarnation, zone: settings.zone };
    this.edgeCounts = new EdgeCounts(
      world,
      this.link,
      bounds.counts,
      this.view,
      self,
      bounds.budget,
    );
    this.outcomes = new OutcomeReplicator(
      this.link,
      new OutcomeCache(world.clock, bounds.terms.keyMs),
      () => ({
        members: this.view.collectors,
        leader: this.forwarder.leader,
        zone: settings.zone,
      }),
    );
    this.door = new HttpProxy(world, {
      view: this.view,
      backEnds: options.backEnds,
      forwarder: this.forwarder,
      budget: this.budget,
      counts: this.edgeCounts,
      shares: this.shares,
      incarnation: this.incarnation,
      dialect: options.dialect ?? HeaderNames.own,
      lapsedLease: this.lapsedLease(),
      outcomes: this.outcomes,
      egress: pacers.egress,
    });
    if (this.roles.includes("recorder") && world.disk) {
      const book = new StateMachine();
      this.recorder = new ReplicationNode(
        world,
        this.link,
        place,
        { ...bounds.waits, ...options.waits },
        book,
        new LogStore(world.disk, historyQuotaBytes(settings.limits?.diskMb)),
        this.meeting,
      );
      this.registry = new ControlPlane(
        world,
        this.recorder,
        book,
        bounds.terms,
        new RetryQuotas(bounds.budget, bounds.leaseMs),
      );
      book.onApplied((deed) => {
        if (deed.kind === "config" && book.inForce) this.archive?.keep(book.inForce);
      });
    }
    if (this.roles.includes("collector"))
      this.collector = new CountAggregator(
        world,
        this.link,
        bounds.counts,
        settings.peers,
        this.incarnation,
        () => this.recorder?.leader || this.forwarder.leader,
      );
    this.desk = new AdminApi(
      world,
      this.forwarder,
      this.view,
      this.shares,
      pacers.egress,
      settings.operators,
      {
        status: () => this.status(),
        notReady: () => this.notReady(),
        counts: () => this.collector?.latest ?? this.edgeCounts.latest,
      },
      bounds,
    );
  }

  /** Starts all tasks; ends once the daemon listens for its peers. */
  *start(): Task {
    const { world, registry, recorder, collector } = this;
    this.callers.each(world.clock.scheduler, ({ job, caller }) =>
      Runtime.start(world, "door", this.door.handle(job, caller)),
    );
    this.operators.each(world.clock.scheduler, ({ job, give }) =>
      Runtime.start(world, "operator", this.desk.handle(job), give),
    );
    if (recorder && registry) {
      const leadership = {
        get leads() {
          return recorder.status.role === "leader";
        },
        get leader() {
          return recorder.leader;
        },
      };
      this.forwarder.serve(RpcMethod.command, leadership, (text) => registry.command(text));
      this.forwarder.serve(RpcMethod.poll, leadership, (text) => registry.poll(text));
    } else {
      this.forwarder.serveWay();
      this.meeting.serve();
    }
    this.outcomes.serve();
    yield* this.link.listen();
    if (recorder && registry) {
      Runtime.start(world, "record", recorder.own());
      if (this.archive) Runtime.start(world, "operator", this.archive.own());
      Runtime.start(world, "contract", registry.ownConfigs());
      Runtime.start(world, "contract", registry.ownTime());
    }
    if (!recorder) Runtime.start(world, "record", this.meeting.own());
    Runtime.start(world, "contract", this.view.own(this.bounds.pollMs, this.bounds.pollWaitMs));
    if (collector) Runtime.start(world, "zone", collector.own(pushMs));
    if (this.roles.includes("edge")) Runtime.start(world, "zone", this.edgeCounts.pushing(pushMs));
    this.log.say("Runs.", { roles: this.roles, zone: this.settings.zone });
  }

  /** Finishes the work in hand and takes no more; ends when all is done or the time for it is over. */
  *drain(closeToCallers: () => void = () => undefined): Task {
    const startedMs = this.world.clock.nowMs();
    this.draining = true;
    this.log.say("Draining.", { inHand: this.door.unfinished });
    const { serveOnMs, abandonMs, retireMs } = this.bounds;
    const { recorder } = this;
    if (recorder) {
      yield* recorder.yieldLeadership();
      Runtime.start(this.world, "record", recorder.leave(startedMs + serveOnMs));
    }
    yield* Clock.rest(this.world.clock, startedMs + serveOnMs - this.world.clock.nowMs());
    this.door.close();
    closeToCallers();
    while (this.door.unfinished > 0 && this.world.clock.nowMs() - startedMs < abandonMs)
      yield* Clock.rest(this.world.clock, 20);
    if (this.door.unfinished > 0)
      this.log.warn("Stops with work unfinished; it is given up on.", {
        inHand: this.door.unfinished,
      });
    this.door.abandon();
    if (recorder) yield* recorder.retire(startedMs + retireMs);
    if (this.door.unfinished > 0) return;
    this.log.say("Drained.");
  }

  /** Peer addresses of other daemons, from now on. */
  setSeeds(seeds: readonly string[]): void {
    this.seeds = seeds;
  }

  /** The config this daemon serves by, and whether it may serve now. */
  get standing(): { configSequence: number; isGranted: boolean } {
    return { configSequence: this.view.configSequence, isGranted: this.view.isGranted };
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
    const { forwarder, link } = this;
    const core = {
      get members() {
        return forwarder.recorders;
      },
      isOutOfReach: (member: string, sinceMs: number) => link.isOutOfReach(member, sinceMs),
    };
    return new ExpiredLeasePolicy(this.world.clock, core, this.bounds.figures);
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
    if (!this.view.isGranted) return "no fresh grant";
    return "";
  }

  private status(): Record<string, unknown> {
    return {
      ...this.machine(),
      ready: this.notReady() === "",
      granted: this.view.isGranted,
      configSequence: this.view.configSequence,
      polls: this.view.polls,
      grants: this.view.grants,
      droppedFrames: this.link.droppedFrames,
      record: this.recorder?.status ?? null,
      door: this.roles.includes("edge")
        ? {
            inHand: this.door.inHand,
            ...this.door.tally,
            capacities: Object.fromEntries(this.budget.capacities),
          }
        : null,
      collector: this.collector
        ? { refused: this.collector.refused, coverage: this.collector.latest?.coverage ?? null }
        : null,
    };
  }
}
