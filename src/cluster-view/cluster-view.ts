import { RpcMethod } from "../rpc/rpc-method.js";
import { Clock } from "../runtime/clock.js";
import { Queue } from "../runtime/queue.js";
import type { Logger } from "../runtime/logger.js";
import { StepTimer } from "../runtime/step-timer.js";
import type { Task } from "../runtime/task.js";
import type { Runtime } from "../runtime/runtime.js";
import type { Registration } from "../state/state-machine.js";
import { Config } from "../configuration/config.js";
import { ConfigReplica } from "./config-replica.js";
import { EndpointReplica } from "./endpoint-replica.js";
import type { EdgePlacement } from "../control-protocol/edge-placement.js";
import type { CommandForwarder } from "./command-forwarder.js";
import { RouteTable } from "./route-table.js";
import {
  WatchRequest,
  type LeasedView,
  type ControlPlanePeers,
  type DaemonInfo,
  type Command,
} from "../control-protocol/command.js";
import type { RetryCapacities } from "./retry-capacities.js";

/** How long a poll is waited for until it is sent again, where bounds don't say otherwise. */
const usualPollWaitMs = 450;
/** How old an announcement may be and still be told as heard. */
const heardForMs = 2000;
/** How many orders are remembered beyond those of instances in the directory. */
const spareOrders = 1000;
/** How long a hurried poll waits after the last one. */
const hurriedPollMs = 40;

/** What a back end says of itself in an announcement. */
export type BackendHeartbeat = Omit<Extract<Command, { kind: "announce" }>, "kind" | "seen">;

/** What a daemon answers to an announcement that needs no leader. */
export interface KnownRegistration {
  contract: number;
  state: "known" | "overtaken";
  announceMs: number;
}

/** What announced itself at this daemon: the newest order, and when. */
interface AnnouncedHere {
  readonly order: number;
  readonly atMs: number;
}

/** What a daemon knows of the fleet, and until when it may serve by it. */
export class ClusterView {
  private readonly runtime: Runtime;
  private readonly forwarder: CommandForwarder;
  private readonly machine: () => DaemonInfo;
  private readonly budget: RetryCapacities;
  private readonly log: Logger;
  private readonly steps: StepTimer;
  private untilMs = -Infinity;
  private lastSentMs = -Infinity;
  private heard = false;
  private readonly directory = new EndpointReplica();
  private byService = new Map<string, Registration[]>();
  private byAddress = new Map<string, Registration>();
  private byInstance = new Map<string, Registration>();
  /** The numbers of the contracts that stand, as far as is known here. */
  private durableState = new Set<number>();
  /** What announced itself here and is yet to be told to the leader, by contract. */
  private readonly announced = new Map<number, AnnouncedHere>();
  /** The newest order heard here of each instance. */
  private readonly commands = new Map<string, number>();
  private announceMs = 1000;
  /** Hears of all contracts whenever the directory has changed. */
  onEndpoints: (registrations: readonly Registration[]) => void = () => undefined;
  /** Hears that there is a lease and a config to serve by, where one was missing. */
  onLease: () => void = () => undefined;
  /** Hears of this edge's place among all edges, whenever it has changed. */
  onPlace: (place: EdgePlacement) => void = () => undefined;
  /** Hears of each config that comes into force here. */
  onConfig: (routeTable: RouteTable) => void = () => undefined;
  private readonly config = new ConfigReplica();
  private readonly names = new Map<number, string>();
  routeTable = new RouteTable(Config.empty);
  collectors: ControlPlanePeers["collectors"] = [];
  /** Where members of the log that don't lead serve operators. */
  memberOperators: readonly string[] = [];
  private membersDigest = "";
  private place: EdgePlacement | undefined;
  /** What the grant of capacities says that `grantNumber` names. */
  private toldCapacities: ReadonlyMap<string, number> = new Map();
  private refused: Registration[] = [];
  private grantNumber = "";
  private readonly nudge = new Queue<true>();
  /** How many polls were sent, and how many brought a grant. */
  polls = 0;
  grants = 0;

  constructor(
    runtime: Runtime,
    forwarder: CommandForwarder,
    machine: () => DaemonInfo,
    budget: RetryCapacities,
  ) {
    this.runtime = runtime;
    this.forwarder = forwarder;
    this.machine = machine;
    this.budget = budget;
    this.log = runtime.loggers.component("contract");
    this.steps = new StepTimer(runtime.clock, this.log);
    budget.onShort = () => {
      this.nudge.putOnce(true);
    };
  }

  /** Whether this daemon may serve now: its view is proven fresh. */
  get holdsLease(): boolean {
    return this.runtime.clock.nowMs() < this.untilMs;
  }

  /** The newest change of the directory that is known here. */
  get directorySequence(): number {
    return this.directory.sequence;
  }

  /** The sequence of the config that is in force here; 0 for none yet. */
  get configSequence(): number {
    return this.config.sequence;
  }

  private get canServe(): boolean {
    return this.holdsLease && this.configSequence > 0;
  }

  /** For how long the lease to serve has been over; 0 while it holds. */
  get expiredForMs(): number {
    return Math.max(0, this.runtime.clock.nowMs() - this.untilMs);
  }

  /** For how long the lease to serve still holds; negative once it is over. */
  get leaseLeftMs(): number {
    return this.untilMs - this.runtime.clock.nowMs();
  }

  /** The back ends under contract for a service that aren't leaving. */
  backendsOf(service: string): readonly Registration[] {
    return this.byService.get(service) ?? [];
  }

  /** Whether a contract still stands, as far as is known here. */
  isRegistered(registration: Registration): boolean {
    return this.durableState.has(registration.number);
  }

  /** The contract of an instance, which may be leaving. */
  registrationOf(instance: string): Registration | undefined {
    return this.byInstance.get(instance);
  }

  get services(): string[] {
    return [...this.byService.keys()];
  }

  /** Answers an announcement that changes nothing; the leader hears of it with the next poll. `undefined` where the leader must be asked. */
  acceptHeartbeat({
    address,
    service,
    zone,
    instance = "",
    capacity = 0,
    order,
    draining = false,
  }: BackendHeartbeat): KnownRegistration | undefined {
    const known = this.byAddress.get(address);
    const isSame = known?.instance === instance && known.service === service;
    if (draining) return undefined;
    if (instance !== "" && order !== undefined) {
      if (order < (this.commands.get(instance) ?? 0))
        return {
          contract: isSame ? known.number : 0,
          state: "overtaken",
          announceMs: this.announceMs,
        };
      this.noteOrder(instance, order);
    }
    if (
      !this.holdsLease ||
      !isSame ||
      known.zone !== zone ||
      known.capacity !== capacity ||
      !this.durableState.has(known.number)
    )
      return undefined;
    this.announced.set(known.number, {
      order: Math.max(order ?? 0, this.announced.get(known.number)?.order ?? 0),
      atMs: this.runtime.clock.nowMs(),
    });
    return { contract: known.number, state: "known", announceMs: this.announceMs };
  }

  /** The number that the record gave to a service or a route. */
  idOf(kind: "service" | "route", name: string): number | undefined {
    return this.config.numbers.get(`${kind} ${name}`);
  }

  /** The name behind a number, also for a while after it went out of force. */
  nameOf(number: number): string | undefined {
    return this.names.get(number);
  }

  /** Hears that nobody listens at a contract's address; the leader is told with the next poll. */
  noteRefused(registration: Registration): void {
    if (this.refused.some(({ number }) => number === registration.number)) return;
    this.refused.push(registration);
    this.arrange();
  }

  /** Polls for as long as the daemon runs; one that isn't answered within `waitMs` is sent again. */
  *run(pollMs: number, waitMs = usualPollWaitMs): Task {
    for (;;) {
      const sentMs = this.runtime.clock.nowMs();
      const text = this.poll(sentMs);
      const told = new Map(this.announced);
      this.lastSentMs = sentMs;
      const receive = (ret: string): void => this.receive(ret, sentMs, told);
      const ret = yield* this.forwarder.once(RpcMethod.poll, text, waitMs, {
        waitMs: RpcMethod.poll.waitMs,
        take: receive,
      });
      if (ret !== undefined) receive(ret);
      if (this.heard && !this.holdsLease) {
        this.heard = false;
        this.log.warn("The grant is over; requests are dropped until a new one comes.");
      }
      yield* Clock.sleep(this.runtime.clock, ret === undefined ? 50 : hurriedPollMs);
      if (ret !== undefined) yield* this.nudge.takeUntil(this.runtime.clock, sentMs + pollMs);
    }
  }

  /** Takes what a poll returned, which may come after its time: its lease counts from the poll's sending. */
  private receive(ret: string, sentMs: number, told: ReadonlyMap<number, AnnouncedHere>): void {
    const view = WatchRequest.readReturn(ret);
    if (!view.granted) return;
    this.take(view, sentMs);
    for (const [number, one] of told)
      if (this.announced.get(number) === one) this.announced.delete(number);
    if (!this.holdsLease) this.nudge.putOnce(true);
  }

  private poll(nowMs: number): string {
    this.polls += 1;
    if (nowMs > this.untilMs + this.budget.rules.windowMs / 2) {
      this.toldCapacities = new Map();
      this.budget.setCapacities(this.toldCapacities, nowMs);
      this.grantNumber = "";
    }
    for (const [number, { atMs }] of this.announced)
      if (nowMs - atMs > heardForMs) this.announced.delete(number);
    const watchRequest: WatchRequest = {
      machine: this.machine(),
      configSequence: this.config.knownSequence,
      directorySequence: this.directory.knownSequence,
      grantNumber: this.grantNumber,
      capacities: [...this.budget.capacities]
        .filter(([, capacity]) => capacity > 0)
        .map(([service, capacity]) => ({ service, capacity })),
      wished: this.services
        .map((service) => ({ service, count: this.budget.requested(service, nowMs) }))
        .filter(({ count }) => count > 0),
      membersDigest: this.membersDigest,
      refused: this.refused.map(({ address, number }) => ({ address, number })),
      heard: [...this.announced].map(([number, { order }]) => ({ number, order })),
    };
    return JSON.stringify(watchRequest);
  }

  private take(view: LeasedView, sentMs: number): void {
    if (
      view.configSequence < this.configSequence ||
      view.directorySequence < this.directorySequence
    ) {
      this.log.warn("A view older than the one in hand was refused.", {
        sequence: view.configSequence,
      });
      return;
    }
    const couldServe = this.canServe;
    if (!this.takeCopies(view)) return;
    this.announceMs = view.announceMs ?? this.announceMs;
    if (view.members) this.takeMembers(view.members);
    if (view.place) this.takePlace(view.place);
    // The leader takes a later poll as proof that the capacities of the ones before weren't taken.
    if (sentMs === this.lastSentMs) this.takeCapacities(view);
    this.untilMs = Math.max(this.untilMs, sentMs + view.grantMs);
    if (!this.holdsLease) return;
    if (!couldServe && this.canServe) this.onLease();
    this.grants += 1;
    if (!this.heard) this.log.info("Granted.", { sequence: view.configSequence });
    this.heard = true;
  }

  /** Brings the copies up to a view; tells whether they are what the leader has. */
  private takeCopies(view: LeasedView): boolean {
    const directory = this.steps.run("copyDirectory", () => this.directory.take(view));
    const config = this.steps.run("copyConfig", () => this.config.take(view));
    if (directory === "changed") this.steps.run("takeDirectory", () => this.takeDirectory());
    if (config === "changed") this.steps.run("takeConfig", () => this.takeConfig());
    if (directory !== "differs" && config !== "differs")
      return directory !== "outdated" && config !== "outdated";
    this.log.warn("A copy differs from the leader's; the whole is asked for.", {
      directory,
      config,
      sequence: view.configSequence,
    });
    return false;
  }

  private takeMembers({ digest, collectors, recorders, operators = [] }: ControlPlanePeers): void {
    this.memberOperators = operators;
    this.membersDigest = digest;
    this.collectors = collectors;
    this.forwarder.setMembers(recorders);
  }

  private takePlace(place: EdgePlacement): void {
    const { count, zoneIndex, zoneCount } = this.place ?? {};
    if (count === place.count && zoneIndex === place.zoneIndex && zoneCount === place.zoneCount)
      return;
    this.place = place;
    this.onPlace(place);
  }

  private takeCapacities({ capacities, grantNumber }: LeasedView): void {
    if (capacities)
      this.toldCapacities = new Map(capacities.map(({ service, capacity }) => [service, capacity]));
    this.budget.setCapacities(this.toldCapacities, this.runtime.clock.nowMs());
    this.grantNumber = grantNumber;
  }

  private takeConfig(): void {
    this.routeTable = new RouteTable(this.config.config, this.routeTable);
    for (const [name, number] of this.config.numbers) this.names.set(number, name);
    this.onConfig(this.routeTable);
  }

  private takeDirectory(): void {
    const { registrations } = this.directory;
    const numbers = new Set(registrations.map(({ number }) => number));
    this.refused = this.refused.filter(({ number }) => numbers.has(number));
    this.arrange();
    this.onEndpoints(registrations);
  }

  /** Arranges the directory in the ways in which it is looked up. */
  private arrange(): void {
    const refused = new Set(this.refused.map(({ number }) => number));
    this.byService = new Map();
    this.byAddress = new Map();
    this.byInstance = new Map();
    this.durableState = new Set();
    const { registrations } = this.directory;
    for (const registration of registrations) {
      const { address, service, instance, number, leaving } = registration;
      this.byAddress.set(address, registration);
      if (instance !== "" && (!leaving || !this.byInstance.has(instance)))
        this.byInstance.set(instance, registration);
      if (leaving || refused.has(number)) continue;
      this.durableState.add(number);
      const known = this.byService.get(service);
      if (known) known.push(registration);
      else this.byService.set(service, [registration]);
    }
    if (this.commands.size <= registrations.length + spareOrders) return;
    for (const instance of this.commands.keys())
      if (!this.byInstance.has(instance)) this.commands.delete(instance);
  }

  private noteOrder(instance: string, order: number): void {
    this.commands.set(instance, Math.max(order, this.commands.get(instance) ?? 0));
  }
}

/** The name of the connections under one contract. */
export const connectionPoolKey = (registration: Registration): string =>
  `${registration.address} ${registration.number}`;
