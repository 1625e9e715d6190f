import { RpcMethod } from "../../rpc/rpc-method.js";
import type { DecodedMessage, RpcEndpoint } from "../../rpc/rpc-endpoint.js";
import { Clock } from "../../runtime/clock.js";
import type { Logger } from "../../runtime/logger.js";
import { Task } from "../../runtime/task.js";
import { Runtime } from "../../runtime/runtime.js";
import type { Members } from "../../consensus/members.js";
import { NodeLocation } from "./node-location.js";

/** How a recorder stands when it is met: unborn is what was formed, but not yet by all of its voters. */
export interface BootstrapStatus extends Members {
  readonly state: "loading" | "empty" | "damaged" | "unborn" | "formed";
  readonly fleet: string;
}

/** A recorder as its daemon's meeting sees it. */
export interface BootstrapMember {
  readonly bootstrapStatus: BootstrapStatus;
  /** Writes on an empty disk which fleet's record this is and who its members are. */
  form(fleet: string, members: Members): Task;
  /** All voters of this fleet have formed. */
  open(fleet: string): void;
  /** Begins to learn the record of a fleet that was formed by others. */
  rejoin(fleet: string, members: Members): Task;
}

/** What a daemon knows besides: who leads, and which recorders there are. */
export interface ClusterHints {
  leader(): string;
  recorders(): readonly string[];
}

type Ask = DecodedMessage<typeof RpcMethod.meet.request>;
type Met = DecodedMessage<typeof RpcMethod.meet.response>;

const askMs = 300;
const formMs = 2000;
const roundMs = 100;
/** How long the next round waits once others were named that have not been met. */
const newNamesMs = 10;
const helloMs = 1000;
const freshMs = 3000;
const contactsHeld = 64;
/** How long the founder waits for more to choose from, where all seeds return and where some don't. */
const settleMs = { all: 500, some: 3000 };
/** How long a founder keeps to what it has begun to form. */
const keepMs = 10_000;
const tellMs = 5000;

const isIn = (one: Met | undefined, fleet: string): boolean =>
  one !== undefined && one.fleet === fleet && (one.state === "unborn" || one.state === "formed");

/** Where the daemons of a fleet meet: tells who this one is, brings recorders together and forms their record. */
export class ClusterBootstrap {
  private readonly runtime: Runtime;
  private readonly rpc: RpcEndpoint;
  private readonly location: NodeLocation;
  private readonly hints: ClusterHints;
  private readonly log: Logger;
  private readonly incarnation: string;
  /** Recorders that showed themselves, and when. */
  private readonly shown = new Map<string, number>();
  private named: string[] = [];
  private member: BootstrapMember | undefined;
  /** Set once a record is known to exist: then none is formed any more. */
  private recordKnown = false;
  private enoughSinceMs: number | undefined;
  private begun: { fleet: string; members: Members; atMs: number } | undefined;
  private toldMs = -Infinity;

  constructor(
    runtime: Runtime,
    rpc: RpcEndpoint,
    location: NodeLocation,
    hints: ClusterHints = { leader: () => "", recorders: () => [] },
  ) {
    this.runtime = runtime;
    this.rpc = rpc;
    this.location = location;
    this.hints = hints;
    this.log = runtime.loggers.component("record");
    this.incarnation = Runtime.nonce(runtime);
  }

  /** Has a recorder take part; before the meeting begins. */
  attend(member: BootstrapMember): void {
    this.member = member;
  }

  /** The recorders known here: members of the record, and those that showed themselves lately. */
  get recorders(): string[] {
    const nowMs = this.runtime.clock.nowMs();
    for (const [peer, atMs] of this.shown) if (nowMs - atMs > freshMs) this.shown.delete(peer);
    const { voters, learners } = this.member?.bootstrapStatus ?? { voters: [], learners: [] };
    return [...new Set([...voters, ...learners, ...this.shown.keys()])];
  }

  /** Serves those who meet this daemon. */
  serve(): void {
    const answer = (ask: Ask): Task<Met> => this.answering(ask);
    this.rpc.serve(RpcMethod.meet, (ask) => answer(ask));
  }

  /** Meets others for as long as the daemon runs. */
  *run(): Task {
    for (;;) {
      const state = this.state;
      if (state === "loading") yield* Clock.sleep(this.runtime.clock, roundMs / 5);
      else if (state === "formed") {
        this.recordKnown = true;
        yield* this.meetAll(this.location.seeds());
        yield* Clock.sleep(this.runtime.clock, helloMs);
      } else {
        const known = this.named;
        if (state !== "none" || this.mayFound) yield* this.round();
        const isNew = this.named.some((peer) => !known.includes(peer));
        const restMs = isNew ? newNamesMs : roundMs * (1 + this.runtime.random());
        yield* Clock.sleep(this.runtime.clock, restMs);
      }
    }
  }

  private get state(): BootstrapStatus["state"] | "none" {
    return this.member?.bootstrapStatus.state ?? "none";
  }

  private get mayFound(): boolean {
    const { founds, self } = this.location;
    return (
      founds &&
      this.location.seeds()[0] === self &&
      !this.recordKnown &&
      this.hints.leader() === "" &&
      (this.state === "none" || this.state === "empty")
    );
  }

  private *answering(ask: Ask): Task<Met> {
    if (ask.peer) this.shown.set(ask.peer, this.runtime.clock.nowMs());
    if (ask.fleet && ask.open) this.member?.open(ask.fleet);
    else if (
      this.member &&
      ask.fleet &&
      ask.incarnation === this.incarnation &&
      this.location.founds &&
      this.state === "empty"
    )
      yield* this.member.form(ask.fleet, ask);
    return this.answer;
  }

  private get answer(): Met {
    const { machine, zone, founds } = this.location;
    const { state, fleet, voters, learners } = this.member?.bootstrapStatus ?? {
      state: "none",
      fleet: "",
      voters: [],
      learners: [],
    };
    const recorders = [...new Set([...this.recorders, ...this.hints.recorders()])];
    return {
      machine,
      zone,
      state,
      fleet,
      leader: this.hints.leader(),
      founds,
      incarnation: this.incarnation,
      voters: [...voters],
      learners: [...learners],
      recorders,
    };
  }

  /** Meets all that are known; then rejoins, forms or opens, or waits. */
  private *round(): Task {
    const seeds = this.location.seeds();
    const peers = new Set([...seeds, ...this.recorders, ...this.hints.recorders(), ...this.named]);
    // One that is empty has only to find a formed record; the dead among those it asks must not cost it time.
    const enough = (one: Met): boolean => this.state === "empty" && one.state === "formed";
    const met = yield* this.meetAll([...peers], enough);
    this.named = [
      ...new Set([...met.values()].flatMap((one) => [one.leader, ...one.recorders, ...one.voters])),
    ]
      .filter((peer) => peer !== "")
      .slice(0, contactsHeld);
    const own = this.member?.bootstrapStatus;
    if (own?.state === "formed") return;
    const formed = [...met.values()].find((one) => one.state === "formed");
    if (formed || [...met.values()].some((one) => one.leader !== "")) this.recordKnown = true;
    if (this.member) met.set(this.location.self, this.answer);
    if (own?.state === "unborn") return yield* this.unborn(own, met);
    if (this.member && formed) return yield* this.member.rejoin(formed.fleet, formed);
    if (this.mayFound) return yield* this.found(seeds, met);
    this.tell("Waiting for a record to be formed or found.", { met: met.size });
  }

  private *unborn(own: BootstrapStatus, met: Map<string, Met>): Task {
    const other = [...met.values()].find(
      (one) =>
        one.state === "formed" &&
        one.fleet !== own.fleet &&
        one.voters.some((voter) => own.voters.includes(voter)),
    );
    if (other && this.member) {
      this.log.warn(
        "What was formed here can't be any more, since one of its voters formed another record.",
        { fleet: own.fleet, other: other.fleet },
      );
      return yield* this.member.rejoin(other.fleet, other);
    }
    yield* this.complete(own.fleet, own, met);
  }

  private *found(seeds: readonly string[], met: Map<string, Met>): Task {
    const nowMs = this.runtime.clock.nowMs();
    const [unborn] = [...met.values()]
      .filter((one) => one.state === "unborn")
      .sort((a, b) => (a.fleet < b.fleet ? -1 : 1));
    if (unborn) return yield* this.complete(unborn.fleet, unborn, met);
    if (this.begun && nowMs - this.begun.atMs < keepMs)
      return yield* this.complete(this.begun.fleet, this.begun.members, met);
    this.begun = undefined;
    const damaged = [...met.values()].some((one) => one.state === "damaged");
    const candidates = [...met]
      .filter(([, one]) => one.state === "empty" && one.founds)
      .map(([peer, { machine, zone }]) => ({ peer, machine, zone }));
    const members = damaged ? undefined : NodeLocation.choose(this.location, candidates);
    if (!members) {
      this.enoughSinceMs = undefined;
      return this.tell("Waiting for enough recorders to form the record.", {
        candidates: candidates.map(({ machine }) => machine),
        voters: NodeLocation.voters(this.location),
        damaged,
      });
    }
    this.enoughSinceMs ??= nowMs;
    const haveAll = seeds.every((seed) => seed === this.location.self || met.has(seed));
    if (nowMs - this.enoughSinceMs < (haveAll ? settleMs.all : settleMs.some)) return;
    this.begun = { fleet: Runtime.nonce(this.runtime), members, atMs: nowMs };
    this.log.info("Forms the fleet's record.", {
      fleet: this.begun.fleet,
      voters: members.voters,
      learners: members.learners,
    });
    yield* this.complete(this.begun.fleet, members, met);
  }

  /**
   * Has the members of a fleet form its record, and opens it once all voters have. None is asked to form unless every voter
   * was met, and none of them had opened: an emptied voter must not come back as if it had never acknowledged anything.
   */
  private *complete(fleet: string, { voters, learners }: Members, met: Map<string, Met>): Task {
    const { member } = this;
    const { self } = this.location;
    const opened = [...met.values()].some((one) => one.fleet === fleet && one.state === "formed");
    if (opened) return member?.open(fleet);
    if (voters.some((voter) => !isIn(met.get(voter), fleet) && met.get(voter)?.state !== "empty"))
      return this.tell("Waiting for the voters of the record that is being formed.", {
        fleet,
        voters,
      });
    if (this.location.founds) {
      const asks: Task[] = [];
      for (const peer of [...voters, ...learners]) {
        const one = met.get(peer);
        if (one?.state !== "empty") continue;
        if (peer !== self)
          asks.push(
            this.meet(
              peer,
              { ...this.hello, fleet, incarnation: one.incarnation, voters, learners },
              formMs,
              met,
            ),
          );
        else if (member) asks.push(member.form(fleet, { voters, learners }));
      }
      yield* Task.all((task) => Runtime.start(this.runtime, "record", task), asks);
      if (member) met.set(self, this.answer);
    }
    if (!voters.every((voter) => isIn(met.get(voter), fleet))) return;
    this.recordKnown = true;
    member?.open(fleet);
    const open = { ...this.hello, fleet, open: true };
    for (const peer of [...voters, ...learners])
      if (peer !== self) Runtime.start(this.runtime, "record", this.meet(peer, open, askMs, met));
  }

  private get hello(): Ask {
    return {
      peer: this.member ? this.location.self : "",
      fleet: "",
      incarnation: "",
      voters: [],
      learners: [],
      open: false,
    };
  }

  private *meet(peer: string, ask: Ask, waitMs: number, met: Map<string, Met>): Task {
    const ret = yield* this.rpc.call(peer, RpcMethod.meet, ask, waitMs);
    if (ret) met.set(peer, ret);
  }

  /** Meets many at once, and gives what they returned by their addresses; ends early once one of them is enough. */
  private *meetAll(
    peers: readonly string[],
    enough: (one: Met) => boolean = () => false,
  ): Task<Map<string, Met>> {
    const met = new Map<string, Met>();
    const { hello } = this;
    const others = peers.filter((peer) => peer !== this.location.self);
    let open = others.length;
    if (open === 0) return met;
    yield* Task.wait<boolean>((done) => {
      for (const peer of others)
        Runtime.start(this.runtime, "record", this.meet(peer, hello, askMs, met), () => {
          open -= 1;
          const one = met.get(peer);
          if (open === 0 || (one && enough(one))) done(true);
        });
    });
    return met;
  }

  private tell(what: string, details: Record<string, unknown>): void {
    const nowMs = this.runtime.clock.nowMs();
    if (nowMs - this.toldMs < tellMs) return;
    this.toldMs = nowMs;
    this.log.warn(what, details);
  }
}
