import { Forwarder } from "../cluster-view/command-forwarder.js";
import type { Mappings } from "../cluster-view/route-table.js";
import type { Machine } from "../control-protocol/command.js";
import { Registry } from "../control-plane/control-plane.js";
import { poolOf, View } from "../cluster-view/cluster-view.js";
import type { BackEnds } from "../proxy/upstream/backend-client.js";
import { Dialect } from "../proxy/header-names.js";
import { Door } from "../proxy/http-proxy.js";
import type { Caller, Job } from "../proxy/proxy-request.js";
import { LapsedLease } from "../proxy/expired-lease-policy.js";
import { KeyedOutcomeKeeper } from "../proxy/idempotency/outcome-replicator.js";
import { KeyedOutcomeStore } from "../proxy/idempotency/outcome-cache.js";
import type { Return } from "../proxy/request-outcome.js";
import { Kind } from "../rpc/rpc-method.js";
import { Link } from "../rpc/rpc-endpoint.js";
import type { Archive } from "../admin/config-archive.js";
import { Operators } from "../admin/admin-api.js";
import { Book } from "../state/state-machine.js";
import { historyBytesOf } from "../replication/history/history-quota.js";
import { Meeting } from "../replication/bootstrap/cluster-bootstrap.js";
import type { Place } from "../replication/bootstrap/node-location.js";
import { Recorder, type Waits } from "../replication/replication-node.js";
import { Store } from "../replication/log/log-store.js";
import { RetryQuotas } from "../retry-budget/retry-quotas.js";
import { RetryBudget } from "../retry-budget/retry-budget.js";
import { Collector } from "../retry-budget/count-aggregator.js";
import { EdgeCounts } from "../retry-budget/edge-counts.js";
import { LoadBalancer } from "../load-balancing/load-balancer.js";
import { Bounds } from "./bounds.js";
import { Clock } from "../runtime/clock.js";
import { LinkPacers } from "../runtime/link-pacer.js";
import type { PartLog } from "../runtime/logger.js";
import { Settings, type Role } from "./settings.js";
import { Source } from "../runtime/event-stream.js";
import type { Task } from "../runtime/task.js";
import { World } from "../runtime/runtime.js";

/** A caller's request as it arrives. */
export interface Arrival {
  readonly job: Job;
  readonly caller: Caller;
}

/** An operator's or back end's request as it arrives. */
export interface DeskArrival {
  readonly job: Job;
  readonly give: (ret: Return) => void;
}

/** What a daemon may be told besides its settings. */
export interface DaemonOptions {
  /** The back ends as this machine reaches them. */
  readonly backEnds: BackEnds;
  /** Where accepted configs are also kept, on a machine with a disk. */
  readonly archive?: Archive | undefined;
  /** The headers by which it speaks with callers and back ends. */
  readonly dialect?: Dialect;
  /** Both directions of the machine's link, where its rate is to be kept. */
  readonly pacers?: LinkPacers;
  /** Waits of the record that differ from what the bounds make of them. */
  readonly waits?: Partial<Waits>;
}

const pushMs = 2000;

/** One machine's daemon: its roles, the links to its peers, and what it serves. */
export class Daemon {
  readonly callers = new Source<Arrival>();
  readonly operators = new Source<DeskArrival>();
  private readonly world: World;
  private readonly settings: Settings;
  private readonly bounds: Bounds;
  private readonly roles: Role[];
  private readonly log: PartLog;
  private readonly archive: Archive | undefined;
  private readonly incarnation: string;
  private readonly link: Link;
  private readonly forwarder: Forwarder;
  private readonly meeting: Meeting;
  private seeds: readonly string[];
  private readonly budget: RetryBudget;
  private readonly view: View;
  private readonly shares: LoadBalancer;
  private readonly edgeCounts: EdgeCounts;
  private readonly desk: Operators;
  readonly door: Door;
  private readonly outcomes: KeyedOutcomeKeeper;
  readonly recorder: Recorder | undefined;
  private readonly registry: Registry | undefined;
  private readonly collector: Collector | undefined;
  private draining = false;
  /** Hears what callers may send, whenever a config says so. */
  onLimits: (limits: Mappings["limits"]) => void = () => undefined;

  constructor(world: World, settings: Settings, options: DaemonOptions) {
    const bounds = Bounds.of(settings);
    this.world = world;
    this.settings = settings;
    this.archive = options.archive;
    this.bounds = bounds;
    this.budget = new RetryBudget(bounds.budget);
    this.roles = Settings.roles(settings);
    this.log = world.logbook.part("machine");
    this.incarnation = World.nonce(world);
    const pacers = options.pacers ?? LinkPacers.of(world.clock, settings.limits?.linkMbps);
    this.link = new Link(world, settings.peers, undefined, pacers);
    this.seeds = settings.seeds;
    this.forwarder = new Forwarder(world, this.link, () => [
      ...this.seeds,
      ...this.meeting.recorders,
    ]);
    const place: Place = {
      self: settings.peers,
      machine: settings.machine,
      zone: settings.zone,
      founds: settings.bootstrap ?? true,
      tolerate: settings.tolerate ?? { machines: 1, zones: 0 },
      seeds: () => this.seeds,
    };
    this.meeting = new Meeting(world, this.link, place, {
      leader: () => this.recorder?.leader || this.forwarder.leader,
      recorders: () => this.forwarder.recorders,
    });
    this.view = new View(world, this.forwarder, () => this.machine(), this.budget);
    this.shares = new LoadBalancer(settings.zone, () => world.random());
    this.view.onLease = () => this.door.leased();
    this.view.onPlace = (place) => this.shares.setPlace(place);
    this.view.onConfig = ({ limits }) => this.onLimits(limits);
    this.view.onDirectory = (contracts) => {
      options.backEnds.keepOnly(new Set(contracts.map(poolOf)));
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
    this.outcomes = new KeyedOutcomeKeeper(
      this.link,
      new KeyedOutcomeStore(world.clock, bounds.terms.keyMs),
      () => ({
        members: this.view.collectors,
        leader: this.forwarder.leader,
        zone: settings.zone,
      }),
    );
    this.door = new Door(world, {
      view: this.view,
      backEnds: options.backEnds,
      forwarder: this.forwarder,
      budget: this.budget,
      counts: this.edgeCounts,
      shares: this.shares,
      incarnation: this.incarnation,
      dialect: options.dialect ?? Dialect.own,
      lapsedLease: this.lapsedLease(),
      outcomes: this.outcomes,
      egress: pacers.egress,
    });
    if (this.roles.includes("recorder") && world.disk) {
      const book = new Book();
      this.recorder = new Recorder(
        world,
        this.link,
        place,
        { ...bounds.waits, ...options.waits },
        book,
        new Store(world.disk, historyBytesOf(settings.limits?.diskMb)),
        this.meeting,
      );
      this.registry = new Registry(
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
      this.collector = new Collector(
        world,
        this.link,
        bounds.counts,
        settings.peers,
        this.incarnation,
        () => this.recorder?.leader || this.forwarder.leader,
      );
    this.desk = new Operators(
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
      World.start(world, "door", this.door.handle(job, caller)),
    );
    this.operators.each(world.clock.scheduler, ({ job, give }) =>
      World.start(world, "operator", this.desk.handle(job), give),
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
      this.forwarder.serve(Kind.command, leadership, (text) => registry.command(text));
      this.forwarder.serve(Kind.poll, leadership, (text) => registry.poll(text));
    } else {
      this.forwarder.serveWay();
      this.meeting.serve();
    }
    this.outcomes.serve();
    yield* this.link.listen();
    if (recorder && registry) {
      World.start(world, "record", recorder.own());
      if (this.archive) World.start(world, "operator", this.archive.own());
      World.start(world, "contract", registry.ownConfigs());
      World.start(world, "contract", registry.ownTime());
    }
    if (!recorder) World.start(world, "record", this.meeting.own());
    World.start(world, "contract", this.view.own(this.bounds.pollMs, this.bounds.pollWaitMs));
    if (collector) World.start(world, "zone", collector.own(pushMs));
    if (this.roles.includes("edge")) World.start(world, "zone", this.edgeCounts.pushing(pushMs));
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
      World.start(this.world, "record", recorder.leave(startedMs + serveOnMs));
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

  private lapsedLease(): LapsedLease {
    const { forwarder, link } = this;
    const core = {
      get members() {
        return forwarder.recorders;
      },
      isOutOfReach: (member: string, sinceMs: number) => link.isOutOfReach(member, sinceMs),
    };
    return new LapsedLease(this.world.clock, core, this.bounds.figures);
  }

  private machine(): Machine {
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
