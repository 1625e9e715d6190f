import { create, literal, number, object, optional, type, union } from "superstruct";
import { Clock } from "../runtime/clock.js";
import { Queue } from "../runtime/queue.js";
import type { Logger } from "../runtime/logger.js";
import { StepTimer } from "../runtime/step-timer.js";
import { Task } from "../runtime/task.js";
import { Runtime } from "../runtime/runtime.js";
import type { AcceptedConfig, StateMachine, Registration } from "../state/state-machine.js";
import { LogCommand, MAX_IDEMPOTENCY_CLAIMS, versionOf } from "../state/state-machine.js";
import { IdAllocator, type NameChanges } from "../state/id-allocator.js";
import { ConfigPayload } from "../state/config-payload.js";
import type { ReplicationNode } from "../replication/replication-node.js";
import { itemHash } from "../configuration/set-digest.js";
import type { RetryCapacityAllocator } from "./retry-capacity-allocator.js";
import { applyItemChanges, Config, ConfigReader, mergePatch } from "../configuration/config.js";
import { ClaimAdmission } from "./claim-admission.js";
import { CommandMetrics } from "./command-metrics.js";
import { configText } from "../configuration/config-serializer.js";
import { ConfigChangeLog } from "./config-change-log.js";
import { edgePlacementsOf, type EdgePlacement } from "../control-protocol/edge-placement.js";
import { EndpointChangeLog } from "./endpoint-change-log.js";
import { LargeViewLimiter } from "./large-view-limiter.js";
import {
  COMPRESSION_THRESHOLD_CHARS,
  failureResponse,
  isFailureResponse,
  Command,
  WatchRequest,
  type ConfigCommand,
  type LeasedView,
  type ControlPlanePeers,
  type DaemonInfo,
} from "../control-protocol/command.js";
import { CompressedText } from "../control-protocol/compressed-text.js";

/** The waits by which the leader keeps contracts, keys and grants. */
export interface ControlPlaneTimeouts {
  leaseMs: number;
  heartbeatMs: number;
  expiryMs: number;
  leaveHoldMs: number;
  /** How long what is known of a back end that left is kept. */
  purgeMs: number;
  keyMs: number;
  silentMs: number;
  /** How long a number rests before another name may have it: three windows. */
  idRestMs: number;
  /** How long a poll is held at most while there is no news for it; well under the grant. */
  holdMs: number;
  /** How long an instance that is gone for good is kept in mind at least. */
  tombstoneMs: number;
}

export const ControlPlaneTimeouts = {
  defaults: {
    leaseMs: 1600,
    heartbeatMs: 1000,
    expiryMs: 4300,
    leaveHoldMs: 2500,
    purgeMs: 30_000,
    keyMs: 120_000,
    silentMs: 2500,
    idRestMs: 60_000,
    holdMs: 320,
    tombstoneMs: 600_000,
  },
};

interface Heard {
  machine: DaemonInfo;
  heardMs: number;
  silent: boolean;
}

const newsKinds: ReadonlySet<string> = new Set(["config", "contract", "leave", "end", "purge"]);

const configOutcome = union([object({ accepted: number() }), object({ lost: number() })]);
const numbered = type({ number: optional(number()), gone: optional(literal(true)) });
/** What a poll returns whose large view was sent just before. */
const underWay = JSON.stringify({ granted: false, why: "the view is under way" });
/** How long changes are gathered at the least before held polls are told of them. */
const gatherNewsMs = 5;
/** How much time news is given for each poll that it goes to, so that changes in a row take only a part of the leader. */
const newsMsPerPoll = 0.75;
/** By how much more than their time instances are kept, so that many are forgotten in one entry. */
const goneSlack = 1.1;

/** What only the leader does: takes commands, keeps contracts and keys alive, and gives edges their views. */
export class ControlPlane {
  private readonly runtime: Runtime;
  private readonly replicationNode: ReplicationNode;
  private readonly stateMachine: StateMachine;
  private readonly controlPlaneTimeouts: ControlPlaneTimeouts;
  private readonly log: Logger;
  private readonly configs = new Queue<{ order: ConfigCommand; done: (text: string) => void }>();
  /** The config that was read last, beside its text. */
  private parsed: { text: string; value: Config } = { text: "", value: Config.empty };
  private readonly heardBackEnds = new Map<string, { heardMs: number; leftMs: number }>();
  private readonly machines = new Map<string, Heard>();
  private readonly ending = new Set<number>();
  /** The newest order that is known of each instance. */
  private readonly commands = new Map<string, number>();
  /** Since when this recorder knows, or last heard, of each instance that is gone for good. */
  private readonly goneSince = new Map<string, number>();
  /** The config that was read back last, as it travels. */
  private readBack: { sequence: number; text: CompressedText } = { sequence: -1, text: {} };
  /** Polls that are held until there is news. */
  private readonly waitingForNews = new Set<() => void>();
  private isTelling = false;
  /** Before when no further news is told. */
  private nextNewsMs = -Infinity;
  private readonly configChanges: ConfigChangeLog;
  private readonly largeViews: LargeViewLimiter;
  private readonly directory: EndpointChangeLog;
  /** Since when this leader has seen a number rest. */
  private readonly restingSince = new Map<number, number>();
  private keyAges: Array<{ scope: string; index: number; atMs: number }> = [];
  /** Edges whose entry as holders is under way, and those whose going is: neither is granted any capacity. */
  private readonly entering = new Set<string>();
  private readonly parting = new Set<string>();
  /** Leads, but has given no edge its view yet. */
  private isNew = true;
  private leadsSinceMs = Infinity;
  /** The places of all edges, until one comes or goes. */
  private edgePlaces: ReadonlyMap<string, EdgePlacement> | undefined;
  private readonly allowance: RetryCapacityAllocator;
  private readonly meter: CommandMetrics;
  private readonly steps: StepTimer;
  private readonly claims: ClaimAdmission;

  constructor(
    runtime: Runtime,
    replicationNode: ReplicationNode,
    stateMachine: StateMachine,
    controlPlaneTimeouts: ControlPlaneTimeouts,
    allowance: RetryCapacityAllocator,
  ) {
    this.runtime = runtime;
    this.replicationNode = replicationNode;
    this.stateMachine = stateMachine;
    this.controlPlaneTimeouts = controlPlaneTimeouts;
    this.allowance = allowance;
    this.log = runtime.loggers.component("contract");
    this.meter = new CommandMetrics(runtime.clock, this.log);
    this.steps = new StepTimer(runtime.clock, this.log);
    this.claims = new ClaimAdmission(runtime.clock);
    this.directory = new EndpointChangeLog(stateMachine);
    this.largeViews = new LargeViewLimiter(controlPlaneTimeouts.leaseMs);
    this.configChanges = new ConfigChangeLog(stateMachine, () => this.configInForce());
    stateMachine.onApplied((command, index) => {
      if (command.kind === "claim")
        this.keyAges.push({ scope: command.scope, index, atMs: runtime.clock.nowMs() });
      if (command.kind === "leave" || command.kind === "contract") this.noteGone();
      if (command.kind === "forgetGone")
        for (const instance of command.instances) this.goneSince.delete(instance);
      if (newsKinds.has(command.kind)) this.tellNews();
      if (command.kind === "holder") this.entering.delete(command.edge);
      if (command.kind === "holdersPast")
        for (const edge of command.edges) this.parting.delete(edge);
      if (command.kind === "forget")
        this.keyAges = this.keyAges.filter((age) => age.index > command.upTo);
    });
    replicationNode.onLeadershipChange((leads) => {
      if (leads) this.lead();
      this.tellNews();
    });
  }

  /** Carries out one command at the leader and tells the outcome as JSON. */
  *command(text: string): Task<string> {
    const startedMs = this.runtime.clock.nowMs();
    const command = this.steps.run("readOrder", () => Command.read(text));
    const outcome = yield* this.carryOut(command);
    this.meter.note(command.kind, startedMs);
    return outcome;
  }

  private *carryOut(command: Command): Task<string> {
    switch (command.kind) {
      case "announce":
        return yield* this.announce(command);
      case "leave":
        return yield* this.leave(command, false);
      case "drainBackEnd": {
        const registration = this.stateMachine.registrations.get(command.address);
        return registration
          ? yield* this.leave(
              { address: registration.address, service: registration.service },
              true,
            )
          : JSON.stringify({ known: false });
      }
      case "put":
      case "patch":
      case "amend":
        return yield* Task.wait<string>((done) => this.configs.put({ order: command, done }));
      case "get":
        return yield* this.read(command.version);
      case "history":
        return this.granted(() => ({
          configs: this.stateMachine.recent.map((one) => ({
            ...one,
            sequence: versionOf(one),
            version: versionOf(one),
          })),
          journal: this.stateMachine.journal,
        }));
      case "claim": {
        const known = this.stateMachine.claims.get(command.scope);
        const isFree = !known || known.job === command.job || known.job === command.replaces;
        if (!isFree && this.replicationNode.holdsLease) return JSON.stringify({ held: known });
        if (!known && this.stateMachine.claims.size >= MAX_IDEMPOTENCY_CLAIMS)
          return this.granted(() => ({ full: true }));
        return yield* this.claims.admit(this.enter(command));
      }
      case "release":
        return yield* this.enterText(JSON.stringify(command));
      case "rejoin":
        return yield* this.rejoin(command.machine, command.nonce);
      case "join":
        return yield* this.join(command.machine, command.fleet);
      case "stopping":
        return yield* this.memberStops(command.machine, command.lastIndex);
      case "fleet":
        return this.granted(() => this.fleetView());
    }
  }

  /** Gives an edge or collector its view, if this recorder may answer now. */
  *watch(text: string): Task<string> {
    const watchRequest = WatchRequest.read(text);
    if (!this.replicationNode.holdsLease) return failureResponse("noGrant");
    const nowMs = this.runtime.clock.nowMs();
    if (this.isNew) {
      this.isNew = false;
      this.allowance.lead(nowMs, Runtime.nonce(this.runtime), this.stateMachine.holders);
    }
    const { machine } = watchRequest;
    const known = this.machines.get(machine.name);
    if (!known || known.silent || known.machine.draining !== machine.draining)
      this.edgePlaces = undefined;
    if (!known || known.silent || known.machine.incarnation !== machine.incarnation)
      this.log.info("A machine shows itself.", { machine: machine.name, zone: machine.zone });
    this.machines.set(machine.name, { machine, heardMs: nowMs, silent: false });
    this.hearAll(watchRequest, nowMs);
    const services = this.steps.run("observeConfig", () => this.configChanges.services);
    const isEdge = machine.roles.includes("edge") && !machine.draining;
    const edge = `${machine.name} ${machine.incarnation}`;
    const holds = this.stateMachine.holders.has(edge);
    if (isEdge && !holds && !this.entering.has(edge)) {
      this.entering.add(edge);
      this.tell({ kind: "holder", edge });
    }
    const granted =
      isEdge && holds && !this.parting.has(edge)
        ? this.allowance.grant(
            edge,
            {
              number: watchRequest.grantNumber,
              capacities: new Map(
                watchRequest.capacities.map(({ service, capacity }) => [service, capacity]),
              ),
            },
            new Map(watchRequest.wished.map(({ service, count }) => [service, count])),
            services,
            nowMs,
          )
        : { number: "", capacities: new Map<string, number>() };
    if (
      this.controlPlaneTimeouts.holdMs > 0 &&
      granted.number === watchRequest.grantNumber &&
      !this.hasNewsFor(watchRequest)
    ) {
      yield* this.news(this.controlPlaneTimeouts.holdMs);
      if (!this.replicationNode.holdsLease) return failureResponse("noGrant");
    }
    const members = this.knownMembers();
    const view: LeasedView = {
      granted: true,
      grantMs: this.controlPlaneTimeouts.leaseMs,
      announceMs: this.controlPlaneTimeouts.heartbeatMs,
      configSequence: this.stateMachine.activeConfig?.sequence ?? 0,
      directorySequence: this.stateMachine.endpointSequence,
      directoryDigest: this.directory.digest,
      grantNumber: granted.number,
      ...(granted.number === watchRequest.grantNumber
        ? {}
        : {
            capacities: [...granted.capacities]
              .filter(([, capacity]) => capacity > 0)
              .map(([service, capacity]) => ({ service, capacity })),
          }),
      ...(members.digest === watchRequest.membersDigest ? {} : { members }),
      ...this.placeFor(machine),
    };
    const parts = [JSON.stringify(view).slice(0, -1)];
    if (
      this.stateMachine.activeConfig &&
      watchRequest.configSequence !== this.stateMachine.activeConfig.sequence
    )
      parts.push(
        this.steps.run("viewOfConfig", () =>
          this.configChanges.viewPart(watchRequest.configSequence),
        ),
      );
    if (watchRequest.directorySequence !== this.stateMachine.endpointSequence)
      parts.push(
        this.steps.run("viewOfDirectory", () =>
          this.directory.viewPart(watchRequest.directorySequence),
        ),
      );
    const viewText = `${parts.join(",")}}`;
    if (viewText.length <= COMPRESSION_THRESHOLD_CHARS) return viewText;
    const sentMs = this.runtime.clock.nowMs();
    if (this.largeViews.isUnderWay(watchRequest, sentMs)) return underWay;
    this.largeViews.note(watchRequest, sentMs);
    return viewText;
  }

  /** The owner of configs: one change after another. */
  *runConfigChanges(): Task {
    for (;;) {
      const { order: command, done } = yield* this.configs.take();
      done(yield* this.changeConfig(command));
    }
  }

  /** Ends contracts that fell silent, forgets keys that are old, and notes machines that are gone. */
  *runMaintenance(): Task {
    for (;;) {
      yield* Clock.sleep(this.runtime.clock, 500);
      if (!this.replicationNode.holdsLease) continue;
      const nowMs = this.runtime.clock.nowMs();
      for (const registration of this.stateMachine.registrations.values()) {
        const heard = this.heardBackEnds.get(registration.address);
        const { address, number, leaving } = registration;
        if (!heard)
          this.heardBackEnds.set(address, { heardMs: nowMs, leftMs: leaving ? nowMs : -Infinity });
        else if (
          leaving &&
          nowMs - Math.max(heard.heardMs, heard.leftMs) > this.controlPlaneTimeouts.purgeMs
        ) {
          this.tell({ kind: "purge", address, number });
          this.heardBackEnds.delete(address);
        } else if (!leaving && nowMs - heard.heardMs > this.controlPlaneTimeouts.expiryMs) {
          this.tell({ kind: "end", address, number, why: "no announcement came" });
          heard.heardMs = nowMs;
        }
      }
      this.forgetInstances(nowMs);
      for (const heard of this.machines.values()) {
        if (heard.silent || nowMs - heard.heardMs < this.controlPlaneTimeouts.silentMs) continue;
        heard.silent = true;
        this.edgePlaces = undefined;
        this.log.warn("A machine fell silent.", { machine: heard.machine.name });
        this.tell({
          kind: "note",
          text: `Machine ${heard.machine.name} of zone ${heard.machine.zone} fell silent.`,
        });
      }
      const past = this.isNew
        ? []
        : this.allowance
            .past(nowMs, this.stateMachine.holders)
            .filter((edge) => !this.parting.has(edge));
      if (past.length > 0) {
        this.tell({ kind: "holdersPast", edges: past });
        for (const edge of past) this.parting.add(edge);
      }
      const old = this.keyAges.filter(({ atMs }) => nowMs - atMs > this.controlPlaneTimeouts.keyMs);
      if (old.length > 0) {
        this.tell({
          kind: "forget",
          scopes: old.map(({ scope }) => scope),
          upTo: Math.max(...old.map(({ index }) => index)),
        });
      }
    }
  }

  private lead(): void {
    const nowMs = this.runtime.clock.nowMs();
    this.isNew = true;
    this.leadsSinceMs = nowMs;
    this.edgePlaces = undefined;
    this.restingSince.clear();
    this.entering.clear();
    this.parting.clear();
    this.machines.clear();
    this.ending.clear();
    this.heardBackEnds.clear();
    this.commands.clear();
    this.goneSince.clear();
    for (const instance of this.stateMachine.tombstones.keys()) this.goneSince.set(instance, nowMs);
    this.configChanges.reset();
    this.largeViews.reset();
    this.keyAges = [...this.stateMachine.claims].map(([scope, { atIndex }]) => ({
      scope,
      index: atIndex,
      atMs: nowMs,
    }));
  }

  private granted(read: () => unknown): string {
    return this.replicationNode.holdsLease ? JSON.stringify(read()) : failureResponse("noGrant");
  }

  private *enter(command: LogCommand): Task<string> {
    return yield* this.enterText(LogCommand.text(command));
  }

  private *enterText(text: string): Task<string> {
    const proposed = yield* this.replicationNode.propose(text);
    return proposed.kind === "committed" ? proposed.outcome : failureResponse(proposed.kind);
  }

  private tell(command: LogCommand, ended: (outcome: string) => void = () => undefined): void {
    Runtime.start(this.runtime, "contract", this.enter(command), ended);
  }

  /** Whom daemons reach of the control plane, by what is heard and agreed now. */
  private knownMembers(): ControlPlanePeers {
    const collectors = [...this.machines.values()]
      .filter((one) => one.machine.roles.includes("collector") && !one.silent)
      .map(({ machine }) => ({ zone: machine.zone, peer: machine.peer }))
      .sort((a, b) => (a.peer < b.peer ? -1 : 1));
    const { voters, learners } = this.replicationNode.currentMembers;
    const recorders = [...voters, ...learners];
    const operators = this.followerOperators(new Set(recorders));
    const digest = itemHash(JSON.stringify([collectors, recorders, operators])).toString(36);
    return { digest, collectors, recorders, operators };
  }

  /** Where members that follow serve operators; the leader has enough to do. */
  private followerOperators(recorders: ReadonlySet<string>): string[] {
    return [...this.machines.values()]
      .filter(({ silent, machine }) => !silent && !machine.draining && recorders.has(machine.peer))
      .filter(({ machine }) => machine.peer !== this.replicationNode.self)
      .flatMap(({ machine }) => machine.operators ?? [])
      .sort();
  }

  /** An edge's place, once this leader has led for as long as a lease, so that every live edge has polled it. */
  private placeFor({ name }: DaemonInfo): Pick<LeasedView, "place"> {
    if (this.runtime.clock.nowMs() - this.leadsSinceMs < this.controlPlaneTimeouts.leaseMs)
      return {};
    this.edgePlaces ??= edgePlacementsOf(
      [...this.machines.values()].filter(({ silent }) => !silent).map(({ machine }) => machine),
    );
    const place = this.edgePlaces.get(name);
    return place === undefined ? {} : { place };
  }

  private hasNewsFor(watchRequest: WatchRequest): boolean {
    return (
      watchRequest.configSequence !== (this.stateMachine.activeConfig?.sequence ?? 0) ||
      watchRequest.directorySequence !== this.stateMachine.endpointSequence
    );
  }

  /** Waits until the directory or the config changes, at most for a while. */
  private *news(waitMs: number): Task {
    let hear = (): void => undefined;
    yield* Clock.withTimeout<boolean>(this.runtime.clock, waitMs, (done) => {
      hear = () => done(true);
      this.waitingForNews.add(hear);
    });
    this.waitingForNews.delete(hear);
  }

  /**
   * Lets held polls go a little later, so that changes that come together are told together: the later, the more polls the
   * last news went to and the more lately.
   */
  private tellNews(): void {
    if (this.waitingForNews.size === 0 || this.isTelling) return;
    this.isTelling = true;
    const quietMs = this.nextNewsMs - this.runtime.clock.nowMs();
    this.runtime.clock.after(Math.max(gatherNewsMs, quietMs), () => {
      this.isTelling = false;
      this.nextNewsMs =
        this.runtime.clock.nowMs() +
        Math.min(this.waitingForNews.size * newsMsPerPoll, this.controlPlaneTimeouts.holdMs / 2);
      for (const hear of [...this.waitingForNews]) hear();
    });
  }

  /** Takes from a poll which back ends announced themselves at its daemon, and which refused it. */
  private hearAll({ machine, heard = [], refused }: WatchRequest, nowMs: number): void {
    for (const { number, order } of heard) {
      const registration = this.directory.registration(number);
      if (!registration || registration.leaving) continue;
      this.hear(registration.address, nowMs);
      this.noteOrder(registration.instance, order);
    }
    for (const { address, number } of refused) {
      const known = this.directory.registration(number);
      if (known?.address !== address || known.leaving || this.ending.has(number)) continue;
      this.ending.add(number);
      this.tell(
        {
          kind: "end",
          address,
          number,
          why: `it refused a connection from ${machine.name}, or another service is there`,
        },
        (outcome) => {
          if (isFailureResponse(outcome)) this.ending.delete(number);
        },
      );
    }
  }

  private hear(address: string, nowMs: number): void {
    this.heardBackEnds.set(address, {
      heardMs: nowMs,
      leftMs: this.heardBackEnds.get(address)?.leftMs ?? -Infinity,
    });
  }

  private noteOrder(instance: string, order: number): void {
    if (instance !== "")
      this.commands.set(instance, Math.max(order, this.commands.get(instance) ?? 0));
  }

  private noteGone(): void {
    if (this.goneSince.size === this.stateMachine.tombstones.size) return;
    const nowMs = this.runtime.clock.nowMs();
    for (const instance of this.stateMachine.tombstones.keys())
      if (!this.goneSince.has(instance)) this.goneSince.set(instance, nowMs);
  }

  /** Forgets instances that have been gone for long, and orders that nobody needs any more. */
  private forgetInstances(nowMs: number): void {
    for (const instance of this.goneSince.keys())
      if (!this.stateMachine.tombstones.has(instance)) this.goneSince.delete(instance);
    let oldestMs = nowMs;
    for (const sinceMs of this.goneSince.values()) oldestMs = Math.min(oldestMs, sinceMs);
    if (nowMs - oldestMs > this.controlPlaneTimeouts.tombstoneMs * goneSlack)
      this.tell({
        kind: "forgetGone",
        instances: [...this.goneSince]
          .filter(([, sinceMs]) => nowMs - sinceMs > this.controlPlaneTimeouts.tombstoneMs)
          .map(([instance]) => instance),
      });
    if (this.commands.size <= this.stateMachine.registrations.size) return;
    const durableState = new Set(
      [...this.stateMachine.registrations.values()].map(({ instance }) => instance),
    );
    for (const instance of this.commands.keys())
      if (!durableState.has(instance)) this.commands.delete(instance);
  }

  private *announce(command: Extract<Command, { kind: "announce" }>): Task<string> {
    const {
      address,
      service,
      zone,
      warmth,
      seen,
      instance = "",
      capacity = 0,
      warmMs = 0,
    } = command;
    if (!this.replicationNode.holdsLease) return failureResponse("noGrant");
    const known = this.stateMachine.registrations.get(address);
    if (command.draining) {
      const left = yield* this.leave({ address, service, instance }, false);
      return isFailureResponse(left)
        ? left
        : this.announced(
            known?.instance === instance ? known.number : 0,
            instance === "" ? "leaving" : "gone",
          );
    }
    const nowMs = this.runtime.clock.nowMs();
    const same = known?.service === service && known.instance === instance;
    if (this.stateMachine.tombstones.has(instance)) {
      this.goneSince.set(instance, nowMs);
      return this.announced(0, "gone");
    }
    if (command.order !== undefined && command.order < this.newestOrder(instance))
      return this.announced(same ? known.number : 0, "overtaken");
    const heard = this.heardBackEnds.get(address) ?? this.leftBefore(known, nowMs);
    const justLeft =
      instance === "" &&
      heard !== undefined &&
      nowMs - heard.leftMs < this.controlPlaneTimeouts.leaveHoldMs;
    if (same && known.leaving && !known.drained && justLeft)
      return this.announced(known.number, "leaving");
    if (same) {
      this.hear(address, nowMs);
      this.noteOrder(instance, command.order ?? 0);
      if (known.drained) return this.announced(known.number, "drained");
      if (!known.leaving && known.zone === zone && known.capacity === capacity)
        return this.announced(known.number, "known");
    }
    // One that counts its announcements is not told that it was heard: another daemon knows more and may enter it.
    if (known && seen < Math.max(known.number, known.leftAt))
      return this.announced(known.number, command.order === undefined ? "overtaken" : "behind");
    this.hear(address, nowMs);
    this.noteOrder(instance, command.order ?? 0);
    const outcome = yield* this.enter({
      kind: "contract",
      address,
      service,
      zone,
      warmth,
      instance,
      capacity,
      warmMs,
      order: command.order ?? 0,
    });
    const entered = create(JSON.parse(outcome), numbered);
    if (entered.gone) return this.announced(0, "gone");
    return entered.number === undefined ? outcome : this.announced(entered.number, "taken");
  }

  private newestOrder(instance: string): number {
    if (instance === "") return 0;
    return Math.max(
      this.commands.get(instance) ?? 0,
      ...this.stateMachine.registrationsOf(instance).map(({ order }) => order),
    );
  }

  private announced(contract: Registration["number"], state: string): string {
    return JSON.stringify({ contract, state, announceMs: this.controlPlaneTimeouts.heartbeatMs });
  }

  private *leave(
    {
      address = "",
      service = "",
      instance = "",
    }: {
      address?: string | undefined;
      service?: string | undefined;
      instance?: string | undefined;
    },
    drained: boolean,
  ): Task<string> {
    if (!this.replicationNode.holdsLease) return failureResponse("noGrant");
    const known = this.stateMachine.registrations.get(address);
    const isGone =
      instance === ""
        ? known?.service === service && known.leaving && known.drained >= drained
        : this.stateMachine.tombstones.has(instance);
    if (isGone) {
      if (instance === "") this.noteLeft(address, this.runtime.clock.nowMs());
      return JSON.stringify({ known: true });
    }
    const outcome = yield* this.enter({
      kind: "leave",
      address,
      service,
      drained,
      ...(instance === "" ? {} : { instance }),
    });
    const nowMs = this.runtime.clock.nowMs();
    const left =
      instance === ""
        ? [address]
        : this.stateMachine.registrationsOf(instance).map((registration) => registration.address);
    for (const one of left) this.noteLeft(one, nowMs);
    return outcome;
  }

  private noteLeft(address: string, nowMs: number): { heardMs: number; leftMs: number } {
    const left = { heardMs: nowMs, leftMs: nowMs };
    this.heardBackEnds.set(address, left);
    return left;
  }

  /** A new leader doesn't know when one that is leaving left: it may have been just now. */
  private leftBefore(
    known: Registration | undefined,
    nowMs: number,
  ): { heardMs: number; leftMs: number } | undefined {
    return known?.leaving === true ? this.noteLeft(known.address, nowMs) : undefined;
  }

  private *changeConfig(command: ConfigCommand): Task<string> {
    for (let round = 0; round < 5; round += 1) {
      if (!this.replicationNode.holdsLease) return failureResponse("noGrant");
      const first = this.stateMachine.changeVersion(command.changeId);
      if (first !== undefined) return JSON.stringify({ accepted: first });
      const { version, forgottenUpTo } = this.stateMachine;
      const wanted = command.version ?? (command.base === undefined ? Infinity : command.base + 1);
      if (wanted <= forgottenUpTo) return JSON.stringify({ forgottenUpTo });
      if (command.base !== undefined && command.base !== version)
        return JSON.stringify({ lost: version });
      if (
        command.version !== undefined &&
        !(Number.isSafeInteger(command.version) && command.version > version)
      )
        return JSON.stringify({
          faults: [{ path: "version", expected: `a version above ${version}` }],
        });
      const { activeConfig: inForce } = this.stateMachine;
      const changed = this.steps.run("changeItems", () => this.changed(command));
      yield* this.otherWork();
      const checked = this.steps.run("checkConfig", () => Config.check(changed));
      if ("faults" in checked) return JSON.stringify({ faults: checked.faults });
      const { config } = checked;
      yield* this.otherWork();
      const text = this.steps.run("writeConfig", () => configText(config));
      yield* this.otherWork();
      const recorded = this.steps.run("compareTexts", () => ConfigPayload.of(inForce?.text, text));
      yield* this.otherWork();
      const outcome = yield* this.enter({
        kind: "config",
        expected: inForce?.sequence ?? 0,
        ...(command.version === undefined ? {} : { version: command.version }),
        changeId: command.changeId,
        acceptedAt: this.runtime.wallTime().toISOString(),
        ...recorded,
        names: this.nameChanges(config),
        rested: this.rested(),
      });
      const [failed, read] = configOutcome.validate(JSON.parse(outcome));
      if (!failed && "accepted" in read) this.parsed = { text, value: config };
      if (failed || "accepted" in read || command.base !== undefined) return outcome;
    }
    return failureResponse("notLeader");
  }

  /** Lets heartbeats and whatever else waits have their turn between the steps of a change, each of which can take long. */
  private *otherWork(): Task {
    yield* Clock.sleep(this.runtime.clock, 0);
  }

  /** What a configuration changes of the names that have numbers; one that could get none before is tried again. */
  private nameChanges({ services, routes }: Config): NameChanges {
    const { inForce } = this.stateMachine.idAllocator;
    const present = new Set([
      ...Object.keys(services).map((service) => IdAllocator.serviceName(service)),
      ...Object.keys(routes).map((route) => IdAllocator.routeName(route)),
    ]);
    return {
      added: [...present].filter((name) => !inForce.has(name)),
      removed: [...inForce.keys()].filter((name) => !present.has(name)),
    };
  }

  /** The whole config that an order makes of the one in force. */
  private changed(command: ConfigCommand): unknown {
    if (command.kind === "put") return command.value;
    const current = this.configInForce();
    return command.kind === "patch"
      ? mergePatch(current, command.value)
      : applyItemChanges(current, command.put, command.remove);
  }

  /** The config in force, parsed once for each change. */
  private configInForce(): Config {
    const text = this.stateMachine.activeConfig?.text;
    if (text === undefined) return Config.empty;
    if (this.parsed.text !== text) this.parsed = { text, value: new ConfigReader().read(text) };
    return this.parsed.value;
  }

  /** Numbers that have been out of force for so long that no window holds them. */
  private rested(): number[] {
    const nowMs = this.runtime.clock.nowMs();
    const { resting } = this.stateMachine.idAllocator;
    for (const number of this.restingSince.keys())
      if (!resting.has(number)) this.restingSince.delete(number);
    for (const number of resting)
      if (!this.restingSince.has(number)) this.restingSince.set(number, nowMs);
    return [...this.restingSince]
      .filter(([, sinceMs]) => nowMs - sinceMs > this.controlPlaneTimeouts.idRestMs)
      .map(([number]) => number);
  }

  private *read(version: number | undefined): Task<string> {
    if (!this.replicationNode.holdsLease) return failureResponse("noGrant");
    const newest = this.stateMachine.activeConfig;
    const wanted = version ?? this.stateMachine.version;
    if (!newest || wanted > this.stateMachine.version || wanted < 1)
      return JSON.stringify({ found: null });
    const found =
      wanted === this.stateMachine.version
        ? newest
        : yield* this.ofVersion(wanted, newest.sequence);
    if (found === "unknown") return failureResponse("unknown");
    if (found === "removed") return this.granted(() => ({ found: null, noLongerKept: true }));
    if (!found) return this.granted(() => ({ found: null }));
    return this.granted(() => ({
      found: {
        sequence: found.sequence,
        version: versionOf(found),
        changeId: found.changeId,
        acceptedAt: found.acceptedAt,
        ...this.travellingText(found),
      },
    }));
  }

  /** The text of a config as it is read back, packed once for all readers where it is long. */
  private travellingText({ sequence, text }: AcceptedConfig): CompressedText {
    if (this.readBack.sequence !== sequence)
      this.readBack = { sequence, text: CompressedText.of(text) };
    return this.readBack.text;
  }

  /** The accepted config of a version: versions rise with the sequences, so that few are looked at. */
  private *ofVersion(
    version: number,
    newest: number,
  ): Task<AcceptedConfig | "removed" | "unknown" | undefined> {
    const { recent } = this.stateMachine;
    const at = recent.findIndex((one) => versionOf(one) >= version);
    const known =
      at > 0 || (at === 0 && recent[0] && versionOf(recent[0]) === version)
        ? recent[at]
        : undefined;
    if (known && versionOf(known) !== version) return undefined;
    if (known) {
      const read = yield* this.replicationNode.readConfig(known.sequence);
      return read.kind === "found" ? read.config : read.kind;
    }
    let low = 1;
    let isLowGone = false;
    let high = Math.min(version, recent[0]?.sequence ?? newest);
    while (low <= high) {
      const middle = version === high ? high : Math.floor((low + high) / 2);
      const read = yield* this.replicationNode.readConfig(middle);
      if (read.kind === "unknown") return "unknown";
      if (read.kind === "found" && versionOf(read.config) === version) return read.config;
      const isBelow = read.kind === "removed" || versionOf(read.config) < version;
      if (isBelow) {
        low = middle + 1;
        isLowGone = read.kind === "removed";
      } else high = middle - 1;
    }
    return isLowGone ? "removed" : undefined;
  }

  /** Takes a member in that holds this fleet's record, and was removed while it was away. */
  private *join(machine: string, fleet: string): Task<string> {
    if (!this.replicationNode.holdsLease) return failureResponse("noGrant");
    if (fleet !== this.replicationNode.bootstrapStatus.fleet)
      return JSON.stringify({ foreign: true });
    const taken = yield* this.replicationNode.addLearner(machine);
    return taken ? JSON.stringify({ taken }) : failureResponse("busy");
  }

  private *memberStops(machine: string, lastIndex: number): Task<string> {
    if (!this.replicationNode.holdsLease) return failureResponse("noGrant");
    const answer = yield* this.replicationNode.onMemberStopping(machine, lastIndex);
    return answer ? JSON.stringify(answer) : failureResponse("notLeader");
  }

  private *rejoin(machine: string, nonce: string): Task<string> {
    if (!this.replicationNode.holdsLease) return failureResponse("noGrant");
    if (!(yield* this.replicationNode.addLearner(machine))) return failureResponse("busy");
    const marked = yield* this.enter({ kind: "rejoined", machine, nonce });
    return isFailureResponse(marked) ? marked : JSON.stringify({ taken: true });
  }

  private fleetView() {
    const nowMs = this.runtime.clock.nowMs();
    return {
      leader: this.replicationNode.self,
      voters: this.replicationNode.currentMembers.voters,
      learners: this.replicationNode.currentMembers.learners,
      machines: [...this.machines.values()].map(({ machine, heardMs, silent }) => ({
        name: machine.name,
        zone: machine.zone,
        roles: machine.roles,
        peer: machine.peer,
        draining: machine.draining,
        silent,
        heardMsAgo: Math.round(nowMs - heardMs),
      })),
      backEnds: [...this.stateMachine.registrations.values()].map(
        ({ address, service, zone, leaving }) => ({
          address,
          service,
          zone,
          leaving,
          heardMsAgo: Math.round(nowMs - (this.heardBackEnds.get(address)?.heardMs ?? nowMs)),
        }),
      ),
      directorySequence: this.stateMachine.endpointSequence,
      keys: this.stateMachine.claims.size,
      configs: this.stateMachine.version,
    };
  }
}
