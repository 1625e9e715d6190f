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
  grantMs: number;
  announceMs: number;
  lapseMs: number;
  leaveHoldMs: number;
  /** How long what is known of a back end that left is kept. */
  purgeMs: number;
  keyMs: number;
  silentMs: number;
  /** How long a number rests before another name may have it: three windows. */
  restMs: number;
  /** How long a poll is held at most while there is no news for it; well under the grant. */
  holdMs: number;
  /** How long an instance that is gone for good is kept in mind at least. */
  goneMs: number;
}

export const ControlPlaneTimeouts = {
  usual: {
    grantMs: 1600,
    announceMs: 1000,
    lapseMs: 4300,
    leaveHoldMs: 2500,
    purgeMs: 30_000,
    keyMs: 120_000,
    silentMs: 2500,
    restMs: 60_000,
    holdMs: 320,
    goneMs: 600_000,
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
  private readonly world: Runtime;
  private readonly recorder: ReplicationNode;
  private readonly book: StateMachine;
  private readonly terms: ControlPlaneTimeouts;
  private readonly log: Logger;
  private readonly configs = new Queue<{ order: ConfigCommand; done: (text: string) => void }>();
  /** The config that was read last, beside its text. */
  private parsed: { text: string; value: Config } = { text: "", value: Config.empty };
  private readonly heardBackEnds = new Map<string, { heardMs: number; leftMs: number }>();
  private readonly machines = new Map<string, Heard>();
  private readonly ending = new Set<number>();
  /** The newest order that is known of each instance. */
  private readonly orders = new Map<string, number>();
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
    world: Runtime,
    recorder: ReplicationNode,
    book: StateMachine,
    terms: ControlPlaneTimeouts,
    allowance: RetryCapacityAllocator,
  ) {
    this.world = world;
    this.recorder = recorder;
    this.book = book;
    this.terms = terms;
    this.allowance = allowance;
    this.log = world.logbook.part("contract");
    this.meter = new CommandMetrics(world.clock, this.log);
    this.steps = new StepTimer(world.clock, this.log);
    this.claims = new ClaimAdmission(world.clock);
    this.directory = new EndpointChangeLog(book);
    this.largeViews = new LargeViewLimiter(terms.grantMs);
    this.configChanges = new ConfigChangeLog(book, () => this.configInForce());
    book.onApplied((deed, index) => {
      if (deed.kind === "claim")
        this.keyAges.push({ scope: deed.scope, index, atMs: world.clock.nowMs() });
      if (deed.kind === "leave" || deed.kind === "contract") this.noteGone();
      if (deed.kind === "forgetGone")
        for (const instance of deed.instances) this.goneSince.delete(instance);
      if (newsKinds.has(deed.kind)) this.tellNews();
      if (deed.kind === "holder") this.entering.delete(deed.edge);
      if (deed.kind === "holdersPast") for (const edge of deed.edges) this.parting.delete(edge);
      if (deed.kind === "forget")
        this.keyAges = this.keyAges.filter((age) => age.index > deed.upTo);
    });
    recorder.onLeading((leads) => {
      if (leads) this.lead();
      this.tellNews();
    });
  }

  /** Carries out one command at the leader and tells the outcome as JSON. */
  *command(text: string): Task<string> {
    const startedMs = this.world.clock.nowMs();
    const order = this.steps.run("readOrder", () => Command.read(text));
    const outcome = yield* this.carryOut(order);
    this.meter.note(order.kind, startedMs);
    return outcome;
  }

  private *carryOut(order: Command): Task<string> {
    switch (order.kind) {
      case "announce":
        return yield* this.announce(order);
      case "leave":
        return yield* this.leave(order, false);
      case "drainBackEnd": {
        const contract = this.book.contracts.get(order.address);
        return contract
          ? yield* this.leave({ address: contract.address, service: contract.service }, true)
          : JSON.stringify({ known: false });
      }
      case "put":
      case "patch":
      case "amend":
        return yield* Task.wait<string>((done) => this.configs.put({ order, done }));
      case "get":
        return yield* this.read(order.version);
      case "history":
        return this.granted(() => ({
          configs: this.book.recent.map((one) => ({
            ...one,
            sequence: versionOf(one),
            version: versionOf(one),
          })),
          journal: this.book.journal,
        }));
      case "claim": {
        const known = this.book.keys.get(order.scope);
        const isFree = !known || known.job === order.job || known.job === order.replaces;
        if (!isFree && this.recorder.hasGrant) return JSON.stringify({ held: known });
        if (!known && this.book.keys.size >= MAX_IDEMPOTENCY_CLAIMS)
          return this.granted(() => ({ full: true }));
        return yield* this.claims.admit(this.enter(order));
      }
      case "release":
        return yield* this.enterText(JSON.stringify(order));
      case "rejoin":
        return yield* this.rejoin(order.machine, order.nonce);
      case "join":
        return yield* this.join(order.machine, order.fleet);
      case "stopping":
        return yield* this.memberStops(order.machine, order.lastIndex);
      case "fleet":
        return this.granted(() => this.fleetView());
    }
  }

  /** Gives an edge or collector its view, if this recorder may answer now. */
  *poll(text: string): Task<string> {
    const poll = WatchRequest.read(text);
    if (!this.recorder.hasGrant) return failureResponse("noGrant");
    const nowMs = this.world.clock.nowMs();
    if (this.isNew) {
      this.isNew = false;
      this.allowance.lead(nowMs, Runtime.nonce(this.world), this.book.holders);
    }
    const { machine } = poll;
    const known = this.machines.get(machine.name);
    if (!known || known.silent || known.machine.draining !== machine.draining)
      this.edgePlaces = undefined;
    if (!known || known.silent || known.machine.incarnation !== machine.incarnation)
      this.log.say("A machine shows itself.", { machine: machine.name, zone: machine.zone });
    this.machines.set(machine.name, { machine, heardMs: nowMs, silent: false });
    this.hearAll(poll, nowMs);
    const services = this.steps.run("observeConfig", () => this.configChanges.services);
    const isEdge = machine.roles.includes("edge") && !machine.draining;
    const edge = `${machine.name} ${machine.incarnation}`;
    const holds = this.book.holders.has(edge);
    if (isEdge && !holds && !this.entering.has(edge)) {
      this.entering.add(edge);
      this.tell({ kind: "holder", edge });
    }
    const granted =
      isEdge && holds && !this.parting.has(edge)
        ? this.allowance.grant(
            edge,
            {
              number: poll.grantNumber,
              capacities: new Map(
                poll.capacities.map(({ service, capacity }) => [service, capacity]),
              ),
            },
            new Map(poll.wished.map(({ service, count }) => [service, count])),
            services,
            nowMs,
          )
        : { number: "", capacities: new Map<string, number>() };
    if (this.terms.holdMs > 0 && granted.number === poll.grantNumber && !this.hasNewsFor(poll)) {
      yield* this.news(this.terms.holdMs);
      if (!this.recorder.hasGrant) return failureResponse("noGrant");
    }
    const members = this.knownMembers();
    const view: LeasedView = {
      granted: true,
      grantMs: this.terms.grantMs,
      announceMs: this.terms.announceMs,
      configSequence: this.book.inForce?.sequence ?? 0,
      directorySequence: this.book.directorySequence,
      directoryDigest: this.directory.digest,
      grantNumber: granted.number,
      ...(granted.number === poll.grantNumber
        ? {}
        : {
            capacities: [...granted.capacities]
              .filter(([, capacity]) => capacity > 0)
              .map(([service, capacity]) => ({ service, capacity })),
          }),
      ...(members.digest === poll.membersDigest ? {} : { members }),
      ...this.placeFor(machine),
    };
    const parts = [JSON.stringify(view).slice(0, -1)];
    if (this.book.inForce && poll.configSequence !== this.book.inForce.sequence)
      parts.push(
        this.steps.run("viewOfConfig", () => this.configChanges.viewPart(poll.configSequence)),
      );
    if (poll.directorySequence !== this.book.directorySequence)
      parts.push(
        this.steps.run("viewOfDirectory", () => this.directory.viewPart(poll.directorySequence)),
      );
    const viewText = `${parts.join(",")}}`;
    if (viewText.length <= COMPRESSION_THRESHOLD_CHARS) return viewText;
    const sentMs = this.world.clock.nowMs();
    if (this.largeViews.isUnderWay(poll, sentMs)) return underWay;
    this.largeViews.note(poll, sentMs);
    return viewText;
  }

  /** The owner of configs: one change after another. */
  *ownConfigs(): Task {
    for (;;) {
      const { order, done } = yield* this.configs.take();
      done(yield* this.changeConfig(order));
    }
  }

  /** Ends contracts that fell silent, forgets keys that are old, and notes machines that are gone. */
  *ownTime(): Task {
    for (;;) {
      yield* Clock.rest(this.world.clock, 500);
      if (!this.recorder.hasGrant) continue;
      const nowMs = this.world.clock.nowMs();
      for (const contract of this.book.contracts.values()) {
        const heard = this.heardBackEnds.get(contract.address);
        const { address, number, leaving } = contract;
        if (!heard)
          this.heardBackEnds.set(address, { heardMs: nowMs, leftMs: leaving ? nowMs : -Infinity });
        else if (leaving && nowMs - Math.max(heard.heardMs, heard.leftMs) > this.terms.purgeMs) {
          this.tell({ kind: "purge", address, number });
          this.heardBackEnds.delete(address);
        } else if (!leaving && nowMs - heard.heardMs > this.terms.lapseMs) {
          this.tell({ kind: "end", address, number, why: "no announcement came" });
          heard.heardMs = nowMs;
        }
      }
      this.forgetInstances(nowMs);
      for (const heard of this.machines.values()) {
        if (heard.silent || nowMs - heard.heardMs < this.terms.silentMs) continue;
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
        : this.allowance.past(nowMs, this.book.holders).filter((edge) => !this.parting.has(edge));
      if (past.length > 0) {
        this.tell({ kind: "holdersPast", edges: past });
        for (const edge of past) this.parting.add(edge);
      }
      const old = this.keyAges.filter(({ atMs }) => nowMs - atMs > this.terms.keyMs);
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
    const nowMs = this.world.clock.nowMs();
    this.isNew = true;
    this.leadsSinceMs = nowMs;
    this.edgePlaces = undefined;
    this.restingSince.clear();
    this.entering.clear();
    this.parting.clear();
    this.machines.clear();
    this.ending.clear();
    this.heardBackEnds.clear();
    this.orders.clear();
    this.goneSince.clear();
    for (const instance of this.book.gone.keys()) this.goneSince.set(instance, nowMs);
    this.configChanges.reset();
    this.largeViews.reset();
    this.keyAges = [...this.book.keys].map(([scope, { atIndex }]) => ({
      scope,
      index: atIndex,
      atMs: nowMs,
    }));
  }

  private granted(read: () => unknown): string {
    return this.recorder.hasGrant ? JSON.stringify(read()) : failureResponse("noGrant");
  }

  private *enter(deed: LogCommand): Task<string> {
    return yield* this.enterText(LogCommand.text(deed));
  }

  private *enterText(text: string): Task<string> {
    const proposed = yield* this.recorder.propose(text);
    return typeof proposed === "string" ? failureResponse(proposed) : proposed.outcome;
  }

  private tell(deed: LogCommand, ended: (outcome: string) => void = () => undefined): void {
    Runtime.start(this.world, "contract", this.enter(deed), ended);
  }

  /** Whom daemons reach of the control plane, by what is heard and agreed now. */
  private knownMembers(): ControlPlanePeers {
    const collectors = [...this.machines.values()]
      .filter((one) => one.machine.roles.includes("collector") && !one.silent)
      .map(({ machine }) => ({ zone: machine.zone, peer: machine.peer }))
      .sort((a, b) => (a.peer < b.peer ? -1 : 1));
    const { voters, learners } = this.recorder.currentMembers;
    const recorders = [...voters, ...learners];
    const operators = this.followerOperators(new Set(recorders));
    const digest = itemHash(JSON.stringify([collectors, recorders, operators])).toString(36);
    return { digest, collectors, recorders, operators };
  }

  /** Where members that follow serve operators; the leader has enough to do. */
  private followerOperators(recorders: ReadonlySet<string>): string[] {
    return [...this.machines.values()]
      .filter(({ silent, machine }) => !silent && !machine.draining && recorders.has(machine.peer))
      .filter(({ machine }) => machine.peer !== this.recorder.self)
      .flatMap(({ machine }) => machine.operators ?? [])
      .sort();
  }

  /** An edge's place, once this leader has led for as long as a lease, so that every live edge has polled it. */
  private placeFor({ name }: DaemonInfo): Pick<LeasedView, "place"> {
    if (this.world.clock.nowMs() - this.leadsSinceMs < this.terms.grantMs) return {};
    this.edgePlaces ??= edgePlacementsOf(
      [...this.machines.values()].filter(({ silent }) => !silent).map(({ machine }) => machine),
    );
    const place = this.edgePlaces.get(name);
    return place === undefined ? {} : { place };
  }

  private hasNewsFor(poll: WatchRequest): boolean {
    return (
      poll.configSequence !== (this.book.inForce?.sequence ?? 0) ||
      poll.directorySequence !== this.book.directorySequence
    );
  }

  /** Waits until the directory or the config changes, at most for a while. */
  private *news(waitMs: number): Task {
    let hear = (): void => undefined;
    yield* Clock.within<boolean>(this.world.clock, waitMs, (done) => {
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
    const quietMs = this.nextNewsMs - this.world.clock.nowMs();
    this.world.clock.after(Math.max(gatherNewsMs, quietMs), () => {
      this.isTelling = false;
      this.nextNewsMs =
        this.world.clock.nowMs() +
        Math.min(this.waitingForNews.size * newsMsPerPoll, this.terms.holdMs / 2);
      for (const hear of [...this.waitingForNews]) hear();
    });
  }

  /** Takes from a poll which back ends announced themselves at its daemon, and which refused it. */
  private hearAll({ machine, heard = [], refused }: WatchRequest, nowMs: number): void {
    for (const { number, order } of heard) {
      const contract = this.directory.registration(number);
      if (!contract || contract.leaving) continue;
      this.hear(contract.address, nowMs);
      this.noteOrder(contract.instance, order);
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
    if (instance !== "") this.orders.set(instance, Math.max(order, this.orders.get(instance) ?? 0));
  }

  private noteGone(): void {
    if (this.goneSince.size === this.book.gone.size) return;
    const nowMs = this.world.clock.nowMs();
    for (const instance of this.book.gone.keys())
      if (!this.goneSince.has(instance)) this.goneSince.set(instance, nowMs);
  }

  /** Forgets instances that have been gone for long, and orders that nobody needs any more. */
  private forgetInstances(nowMs: number): void {
    for (const instance of this.goneSince.keys())
      if (!this.book.gone.has(instance)) this.goneSince.delete(instance);
    let oldestMs = nowMs;
    for (const sinceMs of this.goneSince.values()) oldestMs = Math.min(oldestMs, sinceMs);
    if (nowMs - oldestMs > this.terms.goneMs * goneSlack)
      this.tell({
        kind: "forgetGone",
        instances: [...this.goneSince]
          .filter(([, sinceMs]) => nowMs - sinceMs > this.terms.goneMs)
          .map(([instance]) => instance),
      });
    if (this.orders.size <= this.book.contracts.size) return;
    const standing = new Set([...this.book.contracts.values()].map(({ instance }) => instance));
    for (const instance of this.orders.keys())
      if (!standing.has(instance)) this.orders.delete(instance);
  }

  private *announce(order: Extract<Command, { kind: "announce" }>): Task<string> {
    const { address, service, zone, warmth, seen, instance = "", capacity = 0, warmMs = 0 } = order;
    if (!this.recorder.hasGrant) return failureResponse("noGrant");
    const known = this.book.contracts.get(address);
    if (order.draining) {
      const left = yield* this.leave({ address, service, instance }, false);
      return isFailureResponse(left)
        ? left
        : this.announced(
            known?.instance === instance ? known.number : 0,
            instance === "" ? "leaving" : "gone",
          );
    }
    const nowMs = this.world.clock.nowMs();
    const same = known?.service === service && known.instance === instance;
    if (this.book.gone.has(instance)) {
      this.goneSince.set(instance, nowMs);
      return this.announced(0, "gone");
    }
    if (order.order !== undefined && order.order < this.newestOrder(instance))
      return this.announced(same ? known.number : 0, "overtaken");
    const heard = this.heardBackEnds.get(address) ?? this.leftBefore(known, nowMs);
    const justLeft =
      instance === "" && heard !== undefined && nowMs - heard.leftMs < this.terms.leaveHoldMs;
    if (same && known.leaving && !known.drained && justLeft)
      return this.announced(known.number, "leaving");
    if (same) {
      this.hear(address, nowMs);
      this.noteOrder(instance, order.order ?? 0);
      if (known.drained) return this.announced(known.number, "drained");
      if (!known.leaving && known.zone === zone && known.capacity === capacity)
        return this.announced(known.number, "known");
    }
    // One that counts its announcements is not told that it was heard: another daemon knows more and may enter it.
    if (known && seen < Math.max(known.number, known.leftAt))
      return this.announced(known.number, order.order === undefined ? "overtaken" : "behind");
    this.hear(address, nowMs);
    this.noteOrder(instance, order.order ?? 0);
    const outcome = yield* this.enter({
      kind: "contract",
      address,
      service,
      zone,
      warmth,
      instance,
      capacity,
      warmMs,
      order: order.order ?? 0,
    });
    const entered = create(JSON.parse(outcome), numbered);
    if (entered.gone) return this.announced(0, "gone");
    return entered.number === undefined ? outcome : this.announced(entered.number, "taken");
  }

  private newestOrder(instance: string): number {
    if (instance === "") return 0;
    return Math.max(
      this.orders.get(instance) ?? 0,
      ...this.book.contractsOf(instance).map(({ order }) => order),
    );
  }

  private announced(contract: Registration["number"], state: string): string {
    return JSON.stringify({ contract, state, announceMs: this.terms.announceMs });
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
    if (!this.recorder.hasGrant) return failureResponse("noGrant");
    const known = this.book.contracts.get(address);
    const isGone =
      instance === ""
        ? known?.service === service && known.leaving && known.drained >= drained
        : this.book.gone.has(instance);
    if (isGone) {
      if (instance === "") this.noteLeft(address, this.world.clock.nowMs());
      return JSON.stringify({ known: true });
    }
    const outcome = yield* this.enter({
      kind: "leave",
      address,
      service,
      drained,
      ...(instance === "" ? {} : { instance }),
    });
    const nowMs = this.world.clock.nowMs();
    const left =
      instance === ""
        ? [address]
        : this.book.contractsOf(instance).map((contract) => contract.address);
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

  private *changeConfig(order: ConfigCommand): Task<string> {
    for (let round = 0; round < 5; round += 1) {
      if (!this.recorder.hasGrant) return failureResponse("noGrant");
      const first = this.book.changeVersion(order.changeId);
      if (first !== undefined) return JSON.stringify({ accepted: first });
      const { version, forgottenUpTo } = this.book;
      const wanted = order.version ?? (order.base === undefined ? Infinity : order.base + 1);
      if (wanted <= forgottenUpTo) return JSON.stringify({ forgottenUpTo });
      if (order.base !== undefined && order.base !== version)
        return JSON.stringify({ lost: version });
      if (
        order.version !== undefined &&
        !(Number.isSafeInteger(order.version) && order.version > version)
      )
        return JSON.stringify({
          faults: [{ path: "version", expected: `a version above ${version}` }],
        });
      const { inForce } = this.book;
      const changed = this.steps.run("changeItems", () => this.changed(order));
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
        ...(order.version === undefined ? {} : { version: order.version }),
        changeId: order.changeId,
        acceptedAt: this.world.wallTime().toISOString(),
        ...recorded,
        names: this.nameChanges(config),
        rested: this.rested(),
      });
      const [failed, read] = configOutcome.validate(JSON.parse(outcome));
      if (!failed && "accepted" in read) this.parsed = { text, value: config };
      if (failed || "accepted" in read || order.base !== undefined) return outcome;
    }
    return failureResponse("notLeader");
  }

  /** Lets heartbeats and whatever else waits have their turn between the steps of a change, each of which can take long. */
  private *otherWork(): Task {
    yield* Clock.rest(this.world.clock, 0);
  }

  /** What a configuration changes of the names that have numbers; one that could get none before is tried again. */
  private nameChanges({ services, routes }: Config): NameChanges {
    const { inForce } = this.book.numbering;
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
  private changed(order: ConfigCommand): unknown {
    if (order.kind === "put") return order.value;
    const current = this.configInForce();
    return order.kind === "patch"
      ? mergePatch(current, order.value)
      : applyItemChanges(current, order.put, order.remove);
  }

  /** The config in force, parsed once for each change. */
  private configInForce(): Config {
    const text = this.book.inForce?.text;
    if (text === undefined) return Config.empty;
    if (this.parsed.text !== text) this.parsed = { text, value: new ConfigReader().read(text) };
    return this.parsed.value;
  }

  /** Numbers that have been out of force for so long that no window holds them. */
  private rested(): number[] {
    const nowMs = this.world.clock.nowMs();
    const { resting } = this.book.numbering;
    for (const number of this.restingSince.keys())
      if (!resting.has(number)) this.restingSince.delete(number);
    for (const number of resting)
      if (!this.restingSince.has(number)) this.restingSince.set(number, nowMs);
    return [...this.restingSince]
      .filter(([, sinceMs]) => nowMs - sinceMs > this.terms.restMs)
      .map(([number]) => number);
  }

  private *read(version: number | undefined): Task<string> {
    if (!this.recorder.hasGrant) return failureResponse("noGrant");
    const newest = this.book.inForce;
    const wanted = version ?? this.book.version;
    if (!newest || wanted > this.book.version || wanted < 1) return JSON.stringify({ found: null });
    const found =
      wanted === this.book.version ? newest : yield* this.ofVersion(wanted, newest.sequence);
    if (found === "unknown") return failureResponse("unknown");
    if (found === "noLongerKept") return this.granted(() => ({ found: null, noLongerKept: true }));
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
  ): Task<AcceptedConfig | "noLongerKept" | "unknown" | undefined> {
    const { recent } = this.book;
    const at = recent.findIndex((one) => versionOf(one) >= version);
    const known =
      at > 0 || (at === 0 && recent[0] && versionOf(recent[0]) === version)
        ? recent[at]
        : undefined;
    if (known && versionOf(known) !== version) return undefined;
    if (known) {
      const read = yield* this.recorder.config(known.sequence);
      return read.kind === "found" ? read.config : read.kind;
    }
    let low = 1;
    let isLowGone = false;
    let high = Math.min(version, recent[0]?.sequence ?? newest);
    while (low <= high) {
      const middle = version === high ? high : Math.floor((low + high) / 2);
      const read = yield* this.recorder.config(middle);
      if (read.kind === "unknown") return "unknown";
      if (read.kind === "found" && versionOf(read.config) === version) return read.config;
      const isBelow = read.kind === "noLongerKept" || versionOf(read.config) < version;
      if (isBelow) {
        low = middle + 1;
        isLowGone = read.kind === "noLongerKept";
      } else high = middle - 1;
    }
    return isLowGone ? "noLongerKept" : undefined;
  }

  /** Takes a member in that holds this fleet's record, and was removed while it was away. */
  private *join(machine: string, fleet: string): Task<string> {
    if (!this.recorder.hasGrant) return failureResponse("noGrant");
    if (fleet !== this.recorder.attendance.fleet) return JSON.stringify({ foreign: true });
    const taken = yield* this.recorder.addLearner(machine);
    return taken ? JSON.stringify({ taken }) : failureResponse("busy");
  }

  private *memberStops(machine: string, lastIndex: number): Task<string> {
    if (!this.recorder.hasGrant) return failureResponse("noGrant");
    const answer = yield* this.recorder.memberStops(machine, lastIndex);
    return answer ? JSON.stringify(answer) : failureResponse("notLeader");
  }

  private *rejoin(machine: string, nonce: string): Task<string> {
    if (!this.recorder.hasGrant) return failureResponse("noGrant");
    if (!(yield* this.recorder.addLearner(machine))) return failureResponse("busy");
    const marked = yield* this.enter({ kind: "rejoined", machine, nonce });
    return isFailureResponse(marked) ? marked : JSON.stringify({ taken: true });
  }

  private fleetView() {
    const nowMs = this.world.clock.nowMs();
    return {
      leader: this.recorder.self,
      voters: this.recorder.currentMembers.voters,
      learners: this.recorder.currentMembers.learners,
      machines: [...this.machines.values()].map(({ machine, heardMs, silent }) => ({
        name: machine.name,
        zone: machine.zone,
        roles: machine.roles,
        peer: machine.peer,
        draining: machine.draining,
        silent,
        heardMsAgo: Math.round(nowMs - heardMs),
      })),
      backEnds: [...this.book.contracts.values()].map(({ address, service, zone, leaving }) => ({
        address,
        service,
        zone,
        leaving,
        heardMsAgo: Math.round(nowMs - (this.heardBackEnds.get(address)?.heardMs ?? nowMs)),
      })),
      directorySequence: this.book.directorySequence,
      keys: this.book.keys.size,
      configs: this.book.version,
    };
  }
}
