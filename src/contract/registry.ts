import { create, number, object, optional, type, union } from "superstruct";
import { Clock } from "../machine/clock.js";
import { Holding } from "../machine/holding.js";
import type { PartLog } from "../machine/logbook.js";
import { Task } from "../machine/task.js";
import { World } from "../machine/world.js";
import type { Book, Contract } from "../record/book.js";
import { Deed, heldKeys } from "../record/book.js";
import type { Recorder } from "../record/recorder.js";
import { Allowance } from "../zone/allowance.js";
import { Config, mergePatch } from "./config.js";
import { breakdownReturn, isBreakdown, Order, Poll, type GrantedView, type Machine } from "./order.js";

/** The waits by which the leader keeps contracts, keys and grants. */
export interface Terms {
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
}

export const Terms = {
  usual: { grantMs: 1600, announceMs: 1000, lapseMs: 3500, leaveHoldMs: 2500, purgeMs: 30_000, keyMs: 120_000, silentMs: 2500, restMs: 60_000 },
};

interface Heard {
  machine: Machine;
  heardMs: number;
  silent: boolean;
}

const configOutcome = union([object({ accepted: number() }), object({ lost: number() })]);
const numbered = type({ number: optional(number()) });

/** What only the leader does: takes commands, keeps contracts and keys alive, and gives edges their views. */
export class Registry {
  private readonly world: World;
  private readonly recorder: Recorder;
  private readonly book: Book;
  private readonly terms: Terms;
  private readonly log: PartLog;
  private readonly configs = new Holding<{ order: Extract<Order, { kind: "put" | "patch" }>; done: (text: string) => void }>();
  private readonly heardBackEnds = new Map<string, { heardMs: number; leftMs: number }>();
  private readonly machines = new Map<string, Heard>();
  private readonly ending = new Set<number>();
  /** Since when this leader has seen a number rest. */
  private readonly restingSince = new Map<number, number>();
  private keyAges: Array<{ scope: string; index: number; atMs: number }> = [];
  /** Edges whose entry as holders is under way, and those whose going is: neither is granted any capacity. */
  private readonly entering = new Set<string>();
  private readonly parting = new Set<string>();
  /** Leads, but has given no edge its view yet. */
  private isNew = true;
  private readonly allowance = new Allowance();

  constructor(world: World, recorder: Recorder, book: Book, terms: Terms) {
    this.world = world;
    this.recorder = recorder;
    this.book = book;
    this.terms = terms;
    this.log = world.logbook.part("contract");
    book.onApplied((deed, index) => {
      if (deed.kind === "claim") this.keyAges.push({ scope: deed.scope, index, atMs: world.clock.nowMs() });
      if (deed.kind === "holder") this.entering.delete(deed.edge);
      if (deed.kind === "holdersPast") for (const edge of deed.edges) this.parting.delete(edge);
      if (deed.kind === "forget") this.keyAges = this.keyAges.filter((age) => age.index > deed.upTo);
    });
    recorder.onLeading((leads) => {
      if (leads) this.lead();
    });
  }

  /** Carries out one command at the leader and tells the outcome as JSON. */
  *command(text: string): Task<string> {
    const order = Order.read(text);
    switch (order.kind) {
      case "announce":
        return yield* this.announce(order);
      case "leave":
        return yield* this.leave(order.address, order.service, false);
      case "drainBackEnd": {
        const contract = this.book.contracts.get(order.address);
        return contract ? yield* this.leave(contract.address, contract.service, true) : JSON.stringify({ known: false });
      }
      case "put":
      case "patch":
        return yield* Task.wait<string>((done) => this.configs.put({ order, done }));
      case "get":
        return yield* this.read(order.sequence);
      case "history":
        return this.granted(() => ({ configs: this.book.recent, journal: this.book.journal }));
      case "claim": {
        const known = this.book.keys.get(order.scope);
        if (known && known.job !== order.job && this.recorder.hasGrant) return JSON.stringify({ held: known });
        if (!known && this.book.keys.size >= heldKeys) return this.granted(() => ({ full: true }));
        return yield* this.enter(order);
      }
      case "settle":
      case "release":
        return yield* this.enterText(JSON.stringify(order));
      case "rejoin":
        return yield* this.rejoin(order.machine, order.nonce);
      case "fleet":
        return this.granted(() => this.fleetView());
    }
  }

  /** Gives an edge or collector its view, if this recorder may answer now. */
  *poll(text: string): Task<string> {
    const poll = Poll.read(text);
    if (!this.recorder.hasGrant) return breakdownReturn("noGrant");
    const nowMs = this.world.clock.nowMs();
    if (this.isNew) {
      this.isNew = false;
      this.allowance.lead(nowMs, World.nonce(this.world), this.book.holders);
    }
    const { machine } = poll;
    const known = this.machines.get(machine.name);
    if (!known || known.silent || known.machine.incarnation !== machine.incarnation) this.log.say("A machine shows itself.", { machine: machine.name, zone: machine.zone });
    this.machines.set(machine.name, { machine, heardMs: nowMs, silent: false });
    const inForce = this.book.inForce;
    const services = [...this.book.numbering.inForce.keys()].filter((name) => name.startsWith("service ")).map((name) => name.slice(8));
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
            { number: poll.grantNumber, capacities: new Map(poll.capacities.map(({ service, capacity }) => [service, capacity])) },
            new Map(poll.wished.map(({ service, count }) => [service, count])),
            services,
            nowMs,
          )
        : { number: "", capacities: new Map<string, number>() };
    const view: GrantedView = {
      granted: true,
      grantMs: this.terms.grantMs,
      configSequence: inForce?.sequence ?? 0,
      directorySequence: this.book.directorySequence,
      grantNumber: granted.number,
      capacities: [...granted.capacities].map(([service, capacity]) => ({ service, capacity })),
      collectors: [...this.machines.values()].filter((one) => one.machine.roles.includes("collector") && !one.silent).map((one) => ({ zone: one.machine.zone, peer: one.machine.peer })),
      recorders: [...this.recorder.currentMembers.voters, ...this.recorder.currentMembers.learners],
    };
    if (inForce && poll.configSequence !== inForce.sequence) {
      view.config = inForce.text;
      view.numbers = Object.fromEntries(this.book.numbering.inForce);
    }
    for (const { address, number } of poll.refused) {
      const known = this.book.contracts.get(address);
      if (known?.number === number && !known.leaving && !this.ending.has(number)) {
        this.ending.add(number);
        this.tell({ kind: "end", address, number, why: `it refused a connection from ${machine.name}, or another service is there` });
      }
    }
    if (poll.directorySequence !== this.book.directorySequence) view.directory = [...this.book.contracts.values()];
    return JSON.stringify(view);
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
        if (!heard) this.heardBackEnds.set(address, { heardMs: nowMs, leftMs: leaving ? nowMs : -Infinity });
        else if (leaving && nowMs - Math.max(heard.heardMs, heard.leftMs) > this.terms.purgeMs) {
          this.tell({ kind: "purge", address, number });
          this.heardBackEnds.delete(address);
        } else if (!leaving && nowMs - heard.heardMs > this.terms.lapseMs) {
          this.tell({ kind: "end", address, number, why: "no announcement came" });
          heard.heardMs = nowMs;
        }
      }
      for (const heard of this.machines.values()) {
        if (heard.silent || nowMs - heard.heardMs < this.terms.silentMs) continue;
        heard.silent = true;
        this.log.warn("A machine fell silent.", { machine: heard.machine.name });
        this.tell({ kind: "note", text: `Machine ${heard.machine.name} of zone ${heard.machine.zone} fell silent.` });
      }
      const past = this.isNew ? [] : this.allowance.past(nowMs, this.book.holders).filter((edge) => !this.parting.has(edge));
      if (past.length > 0) {
        this.tell({ kind: "holdersPast", edges: past });
        for (const edge of past) this.parting.add(edge);
      }
      const old = this.keyAges.filter(({ atMs }) => nowMs - atMs > this.terms.keyMs);
      if (old.length > 0) {
        this.tell({ kind: "forget", scopes: old.map(({ scope }) => scope), upTo: Math.max(...old.map(({ index }) => index)) });
      }
    }
  }

  private lead(): void {
    const nowMs = this.world.clock.nowMs();
    this.isNew = true;
    this.restingSince.clear();
    this.entering.clear();
    this.parting.clear();
    this.machines.clear();
    this.ending.clear();
    this.heardBackEnds.clear();
    this.keyAges = [...this.book.keys].map(([scope, { atIndex }]) => ({ scope, index: atIndex, atMs: nowMs }));
  }

  private granted(read: () => unknown): string {
    return this.recorder.hasGrant ? JSON.stringify(read()) : breakdownReturn("noGrant");
  }

  private *enter(deed: Deed): Task<string> {
    return yield* this.enterText(Deed.text(deed));
  }

  private *enterText(text: string): Task<string> {
    const proposed = yield* this.recorder.propose(text);
    return typeof proposed === "string" ? breakdownReturn(proposed) : proposed.outcome;
  }

  private tell(deed: Deed): void {
    World.start(this.world, "contract", this.enter(deed));
  }

  private *announce({ address, service, zone, warmth, seen }: Extract<Order, { kind: "announce" }>): Task<string> {
    if (!this.recorder.hasGrant) return breakdownReturn("noGrant");
    const nowMs = this.world.clock.nowMs();
    const known = this.book.contracts.get(address);
    const heard = this.heardBackEnds.get(address);
    const same = known?.service === service;
    const justLeft = heard !== undefined && nowMs - heard.leftMs < this.terms.leaveHoldMs;
    if (same && known.leaving && !known.drained && justLeft) return this.announced(known.number, "leaving");
    this.heardBackEnds.set(address, { heardMs: nowMs, leftMs: heard?.leftMs ?? -Infinity });
    if (same && known.drained) return this.announced(known.number, "drained");
    if (same && !known.leaving && known.zone === zone) return this.announced(known.number, "known");
    if (known && seen < Math.max(known.number, known.leftAt)) return this.announced(known.number, "overtaken");
    const outcome = yield* this.enter({ kind: "contract", address, service, zone, warmth });
    const entered = create(JSON.parse(outcome), numbered);
    return entered.number === undefined ? outcome : this.announced(entered.number, "taken");
  }

  private announced(contract: Contract["number"], state: string): string {
    return JSON.stringify({ contract, state, announceMs: this.terms.announceMs });
  }

  private *leave(address: string, service: string, drained: boolean): Task<string> {
    const known = this.book.contracts.get(address);
    if (known?.service === service && known.leaving && known.drained >= drained && this.recorder.hasGrant) return JSON.stringify({ known: true });
    const outcome = yield* this.enter({ kind: "leave", address, service, drained });
    const nowMs = this.world.clock.nowMs();
    this.heardBackEnds.set(address, { heardMs: nowMs, leftMs: nowMs });
    return outcome;
  }

  private *changeConfig(order: Extract<Order, { kind: "put" | "patch" }>): Task<string> {
    for (let round = 0; round < 5; round += 1) {
      if (!this.recorder.hasGrant) return breakdownReturn("noGrant");
      const first = this.book.changeSequence(order.changeId);
      if (first !== undefined) return JSON.stringify({ accepted: first });
      const current = this.book.inForce;
      const sequence = current?.sequence ?? 0;
      if (order.base !== undefined && order.base !== sequence) return JSON.stringify({ lost: sequence });
      const whole: unknown = order.kind === "put" ? order.value : mergePatch(JSON.parse(current?.text ?? JSON.stringify(Config.empty)), order.value);
      const checked = Config.check(whole);
      if ("faults" in checked) return JSON.stringify({ faults: checked.faults });
      const { config } = checked;
      const outcome = yield* this.enter({
        kind: "config",
        expected: sequence,
        changeId: order.changeId,
        acceptedAt: this.world.wallTime().toISOString(),
        text: JSON.stringify(config),
        services: Object.keys(config.services),
        routes: Object.keys(config.routes),
        rested: this.rested(),
      });
      const [failed, read] = configOutcome.validate(JSON.parse(outcome));
      if (failed || "accepted" in read || order.base !== undefined) return outcome;
    }
    return breakdownReturn("notLeader");
  }

  /** Numbers that have been out of force for so long that no window holds them. */
  private rested(): number[] {
    const nowMs = this.world.clock.nowMs();
    const { resting } = this.book.numbering;
    for (const number of this.restingSince.keys()) if (!resting.has(number)) this.restingSince.delete(number);
    for (const number of resting) if (!this.restingSince.has(number)) this.restingSince.set(number, nowMs);
    return [...this.restingSince].filter(([, sinceMs]) => nowMs - sinceMs > this.terms.restMs).map(([number]) => number);
  }

  private *read(sequence: number | undefined): Task<string> {
    if (!this.recorder.hasGrant) return breakdownReturn("noGrant");
    const newest = this.book.inForce?.sequence ?? 0;
    if ((sequence ?? 1) > newest || sequence === 0) return JSON.stringify({ found: null });
    const found = yield* this.recorder.config(sequence ?? newest);
    if (!found) return breakdownReturn("unknown");
    return this.granted(() => ({ found: { sequence: found.sequence, changeId: found.changeId, acceptedAt: found.acceptedAt, text: found.text } }));
  }

  private *rejoin(machine: string, nonce: string): Task<string> {
    if (!this.recorder.hasGrant) return breakdownReturn("noGrant");
    if (!(yield* this.recorder.addLearner(machine))) return breakdownReturn("busy");
    const marked = yield* this.enter({ kind: "rejoined", machine, nonce });
    return isBreakdown(marked) ? marked : JSON.stringify({ taken: true });
  }

  private fleetView() {
    const nowMs = this.world.clock.nowMs();
    return {
      leader: this.recorder.self,
      voters: this.recorder.currentMembers.voters,
      learners: this.recorder.currentMembers.learners,
      machines: [...this.machines.values()].map(({ machine, heardMs, silent }) => ({ name: machine.name, zone: machine.zone, roles: machine.roles, peer: machine.peer, draining: machine.draining, silent, heardMsAgo: Math.round(nowMs - heardMs) })),
      backEnds: [...this.book.contracts.values()].map(({ address, service, zone, leaving }) => ({ address, service, zone, leaving, heardMsAgo: Math.round(nowMs - (this.heardBackEnds.get(address)?.heardMs ?? nowMs)) })),
      directorySequence: this.book.directorySequence,
      keys: this.book.keys.size,
      configs: this.book.inForce?.sequence ?? 0,
    };
  }
}

if (import.meta.vitest) {
  const { expect, test } = import.meta.vitest;
  const { Simulation } = await import("../rehearsal/simulation.js");
  const { Profile } = await import("../rehearsal/profile.js");
  const { Kind } = await import("../link/kind.js");
  const { Link } = await import("../link/link.js");
  const { Gate } = await import("../rehearsal/gate.js");
  const { virtualWorld } = await import("../rehearsal/virtualWorld.js");

  test("an announcement that was overtaken by the back end's leave, or by another service at its address, changes nothing", () => {
    const simulation = new Simulation(Profile.all.rastro, 1, 0.01);
    simulation.begin();
    simulation.time.runUntil(5000);
    const fail = (error: unknown): void => {
      throw error;
    };
    const world = virtualWorld({ clock: simulation.clock, wire: simulation.network.wire("late", new Gate()), random: simulation.random });
    const link = new Link(world, "late");
    const leader = simulation.machines.find(({ daemon }) => daemon?.recorder?.hasGrant)?.settings.peers ?? "";
    const order = (sent: Order): string => {
      const returns: string[] = [];
      Task.start(link.ask(leader, Kind.command, { ferried: true, text: Order.text(sent) }, 2000), fail, (ret) => returns.push(ret?.text ?? ""));
      simulation.time.runUntil(simulation.time.nowMs() + 200);
      return returns[0] ?? "";
    };
    const [one] = simulation.standIns;
    if (!one) throw new Error("There is no back end.");
    one.isAnnouncing = false;
    const { address, service, zone } = one;
    const late: Order = { kind: "announce", address, service, zone, warmth: 1, seen: Number(/"directorySequence":(\d+)/.exec(order({ kind: "fleet" }))?.[1] ?? "0") };
    expect(order({ kind: "leave", address, service })).toBe('{"known":true}');
    simulation.time.runUntil(simulation.time.nowMs() + 4000);
    expect(order(late)).toContain('"overtaken"');
    const fresh = { ...late, seen: 1_000_000 };
    expect(order({ ...fresh, service: "triage" })).toContain('"taken"');
    expect(order(late)).toContain('"overtaken"');
    expect(order(fresh)).toContain('"taken"');
  });
}
