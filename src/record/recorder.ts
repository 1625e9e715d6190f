import { create, enums, object, string } from "superstruct";
import { Clock } from "../runtime/clock.js";
import { Holding } from "../runtime/holding.js";
import type { PartLog } from "../runtime/logbook.js";
import { Task } from "../runtime/task.js";
import { World } from "../runtime/world.js";
import { Kind, type Entry } from "../link/kind.js";
import type { Held, Link } from "../link/link.js";
import type { AcceptedConfig, Book } from "./book.js";
import { History } from "./history.js";
import { Joining } from "./joining.js";
import { Meeting, type Attendance } from "./meeting.js";
import { memberRights, type MemberRights, type MemberStage } from "./memberRights.js";
import { Members } from "./members.js";
import { Membership, type MembershipView } from "./membership.js";
import { Place } from "./place.js";
import { Store, type LogRecord, type Standing } from "./store.js";
import { Writer } from "./writer.js";

/** The waits by which recorders elect; each is a duration on a monotonic clock. */
export interface Waits {
  heartbeatMs: number;
  electionMinMs: number;
  electionMaxMs: number;
  /** How long a majority's acknowledgment lets the leader answer; shorter than the shortest election wait. */
  leaderGrantMs: number;
  stallMs: number;
  /** How long a voter is silent before a learner takes its place. */
  replaceAfterMs: number;
  /** How long a learner is silent before it is removed from the members. */
  forgetAfterMs: number;
  /** How long the log grows until a checkpoint is written. */
  checkpointBytes: number;
}

export const Waits = {
  usual: {
    heartbeatMs: 60,
    electionMinMs: 300,
    electionMaxMs: 500,
    leaderGrantMs: 240,
    stallMs: 700,
    replaceAfterMs: 1334,
    forgetAfterMs: 60_000,
    checkpointBytes: 4 * 1024 * 1024,
  },
};

/** What became of a proposal: committed and applied here, or its fate is unknown. */
export type Proposed = { index: number; outcome: string } | "notLeader" | "unknown";

type VoteAsk = Held<typeof Kind.vote.ask>;
type VoteReturn = Held<typeof Kind.vote.return>;
type AppendAsk = Held<typeof Kind.append.ask>;
type AppendReturn = Held<typeof Kind.append.return>;
type CheckpointAsk = Held<typeof Kind.checkpoint.ask>;
type CheckpointReturn = Held<typeof Kind.checkpoint.return>;

type Command =
  | { kind: "vote"; ask: VoteAsk; done: (ret: VoteReturn) => void }
  | { kind: "append"; ask: AppendAsk; done: (ret: AppendReturn) => void }
  | { kind: "checkpoint"; ask: CheckpointAsk; done: (ret: CheckpointReturn) => void }
  | { kind: "handOver"; term: number; done: (taken: boolean) => void }
  | { kind: "propose"; texts: string[]; done: (outcomes: Proposed[]) => void }
  | { kind: "acked"; peer: string; term: number; sentMs: number; matched: number; counts: boolean }
  | { kind: "voted"; peer: string; isPreVote: boolean; term: number; ret: VoteReturn }
  | { kind: "written"; term: number; index: number }
  | { kind: "outdated"; term: number }
  | { kind: "learn"; machine: string; done: (known: boolean) => void }
  | { kind: "yield"; done: (yielded: true) => void }
  | { kind: "rejoined" }
  | { kind: "kept" };

const markShape = object({ kind: enums(["rejoined"]), machine: string(), nonce: string() });

/** Raised when the record in memory contradicts itself; the daemon must not go on. */
export class RecordError extends Error {}

const historyWaitMs = 600;
const learnMs = 200;
/** What one frame of entries carries at most, unless a single entry is larger. Exported for its test. */
export const batch = { entries: 256, bytes: 4 * 1024 * 1024 };
/** What is kept of the log behind a checkpoint, for followers that lag a little. */
const kept = { entries: 2000, bytes: 16 * 1024 * 1024 };

/** How many entries from the first on stay within a bound; at least one. Exported for its test. */
export const within = (
  entries: Iterable<Entry>,
  bound: { entries: number; bytes: number },
): number => {
  let count = 0;
  let heldBytes = 0;
  for (const { text } of entries) {
    heldBytes += text.length;
    if (count > 0 && (count >= bound.entries || heldBytes > bound.bytes)) break;
    count += 1;
  }
  return count;
};

type Role = "follower" | "preCandidate" | "candidate" | "leader";

/** A recorder: it replicates the record under a leader that a majority elected, and applies it to its book. */
export class Recorder {
  readonly self: string;
  private readonly world: World;
  private readonly link: Link;
  private readonly place: Place;
  private readonly meeting: Meeting;
  private readonly waits: Waits;
  private readonly log: PartLog;
  private readonly book: Book;
  private readonly store: Store;
  private readonly writer: Writer;
  private readonly holding = new Holding<Command>();

  private state: Exclude<MemberStage, "unborn"> = "loading";
  private fleet = "";
  /** Whether all voters are known to have formed the record. */
  private isOpen = false;
  /** Set while the disk takes what was formed or is to be rejoined. */
  private isTurning = false;
  private readonly opening = new Holding<true>();
  private rejoining = "";
  private role: Role = "follower";
  private term = 0;
  private votedFor = "";
  private entries: Entry[] = [];
  private baseIndex = 0;
  private baseTerm = 0;
  private members: Members;
  private membersIndex = 0;
  private baseMembers: Members;
  private committed = 0;
  private applied = 0;
  private synced = 0;
  private knownLeader = "";
  private heardLeaderMs: number;
  /** When a leader last sent this recorder entries, a heartbeat or a snapshot, or this one led. */
  private heardAppendMs: number;
  private leadingSinceIndex = 0;
  private matched = new Map<string, number>();
  private ackedSentMs = new Map<string, number>();
  private votes = new Set<string>();
  private nudges = new Map<string, Holding<true>>();
  /** Machines that asked to learn, until a change of membership may be made. */
  private readonly newLearners: Array<{ machine: string; done: (known: boolean) => void }> = [];
  private promises = new Map<number, { term: number; done: (proposed: Proposed) => void }>();
  private checkpointing = false;
  private handedOver = false;
  private cuts = 0;
  private leaderHooks: Array<(leads: boolean) => void> = [];

  constructor(
    world: World,
    link: Link,
    place: Place,
    waits: Waits,
    book: Book,
    store: Store,
    meeting = new Meeting(world, link, place),
  ) {
    this.world = world;
    this.link = link;
    this.self = place.self;
    this.place = place;
    this.meeting = meeting;
    this.waits = waits;
    this.book = book;
    this.store = store;
    this.log = world.logbook.part("record");
    this.writer = new Writer(world.clock, store, this.log);
    this.members = { voters: [], learners: [] };
    this.baseMembers = this.members;
    this.heardLeaderMs = world.clock.nowMs();
    this.heardAppendMs = this.heardLeaderMs;
    meeting.attend(this);
  }

  /** The leader as far as this recorder knows, or an empty word. */
  get leader(): string {
    return this.role === "leader" ? this.self : this.knownLeader;
  }

  /** Whether this recorder may answer for the fleet now. */
  get hasGrant(): boolean {
    return this.rights.answer;
  }

  /** What this recorder may do now, by how whole it is. */
  get rights(): MemberRights {
    const nowMs = this.world.clock.nowMs();
    const isLeader = this.role === "leader";
    return memberRights({
      stage: this.isUnborn ? "unborn" : this.state,
      isRejoining: this.rejoining !== "",
      hasHistory: this.hasHistory,
      isNamedVoter: this.members.voters.includes(this.self),
      isLeader,
      isDiskWell:
        this.writer.breakdown === undefined && this.writer.waitingMs <= this.waits.stallMs,
      isBoundToLeader: isLeader || nowMs - this.heardLeaderMs < this.waits.electionMinMs,
      hasLease: isLeader && this.applied >= this.leadingSinceIndex && nowMs < this.grantUntilMs(),
    });
  }

  /** How this recorder stands, for status and tests. */
  get status() {
    return {
      state: this.rejoining || !this.hasHistory ? "rejoining" : this.attendance.state,
      role: this.role,
      term: this.term,
      leader: this.leader,
      committed: this.committed,
      applied: this.applied,
      lastIndex: this.lastIndex,
      voters: this.members.voters,
      learners: this.members.learners,
      disk: this.writer.breakdown ?? "well",
      syncs: this.writer.syncs,
      written: this.writer.written,
    };
  }

  /** The mark that must be committed before this recorder counts again, or an empty word. */
  get nonce(): string {
    return this.rejoining;
  }

  get currentMembers(): Members {
    return this.members;
  }

  /** How this recorder stands when others meet it. */
  get attendance(): Attendance {
    return { state: this.isUnborn ? "unborn" : this.state, fleet: this.fleet, ...this.baseMembers };
  }

  /** Whether the record was formed here, but not yet by all of its voters as far as is known. */
  private get isUnborn(): boolean {
    return (
      this.state === "formed" &&
      !this.isOpen &&
      this.term === 0 &&
      this.lastIndex === 0 &&
      this.rejoining === ""
    );
  }

  /** Hears each time this recorder begins or ceases to lead. */
  onLeading(hook: (leads: boolean) => void): void {
    this.leaderHooks.push(hook);
  }

  /** Asks the record to take an entry; ends once its fate is known, or known to be unknown. */
  *propose(text: string): Task<Proposed> {
    const outcomes = yield* Task.wait<Proposed[]>((done) =>
      this.holding.put({ kind: "propose", texts: [text], done }),
    );
    return outcomes[0] ?? "unknown";
  }

  /** Has a recorder learn the record, unless it already does or votes; false where this one ceases to lead. */
  *addLearner(machine: string): Task<boolean> {
    return yield* Task.wait<boolean>((done) => this.holding.put({ kind: "learn", machine, done }));
  }

  /** Steps down in favour of the follower that is furthest. */
  *yieldLeadership(): Task {
    if (this.role === "leader")
      yield* Task.wait<true>((done) => this.holding.put({ kind: "yield", done }));
  }

  /** The recorder's own task: loads, forms or rejoins, then follows, stands and leads. */
  *own(): Task {
    this.serve();
    World.start(this.world, "record", this.writer.own());
    const loaded = yield* this.store.load();
    if (loaded.kind === "whole") this.adopt(loaded.standing);
    else {
      if (loaded.kind === "damaged") {
        this.log.warn("The disk is damaged; rejoining as if it were lost.", { why: loaded.why });
        yield* this.writer.persist(() => this.store.clear());
      }
      this.state = loaded.kind;
    }
    World.start(this.world, "record", this.meeting.own());
    if (this.state !== "formed" || this.isUnborn) yield* this.opening.take();
    this.heardAppendMs = this.world.clock.nowMs();
    World.start(this.world, "record", this.joining().own());
    World.start(this.world, "record", this.learning());
    this.heardLeaderMs = this.world.clock.nowMs();
    for (;;) {
      switch (this.role) {
        case "follower":
          yield* this.following();
          break;
        case "preCandidate":
          yield* this.standing(true);
          break;
        case "candidate":
          yield* this.standing(false);
          break;
        case "leader":
          yield* this.leading();
          break;
      }
    }
  }

  private serve(): void {
    const { holding } = this;
    this.meeting.serve();
    const closed = (): boolean => !this.rights.takePart;
    this.link.serve(Kind.vote, function* (ask) {
      if (closed()) return { term: 0, granted: false };
      return yield* Task.wait<VoteReturn>((done) => holding.put({ kind: "vote", ask, done }));
    });
    this.link.serve(Kind.append, function* (ask) {
      if (closed()) return { term: 0, fits: false, counts: false, matched: 0 };
      return yield* Task.wait<AppendReturn>((done) => holding.put({ kind: "append", ask, done }));
    });
    this.link.serve(Kind.checkpoint, function* (ask) {
      if (closed()) return { term: 0, counts: false, matched: 0 };
      return yield* Task.wait<CheckpointReturn>((done) =>
        holding.put({ kind: "checkpoint", ask, done }),
      );
    });
    this.link.serve(Kind.handOver, function* ({ term }) {
      if (closed()) return { taken: false };
      return {
        taken: yield* Task.wait<boolean>((done) => holding.put({ kind: "handOver", term, done })),
      };
    });
    this.link.serve(Kind.history, ({ from }) => this.historyFrom(from));
  }

  /** Writes on an empty disk which fleet's record this is and who its members are. */
  *form(fleet: string, { voters, learners }: Members): Task {
    if (!this.rights.form || this.isTurning) return;
    this.isTurning = true;
    const standing: Standing = {
      fleet,
      rejoining: "",
      term: 0,
      votedFor: "",
      lastIndex: 0,
      lastTerm: 0,
      book: this.book.checkpoint({ voters, learners }),
      entries: [],
    };
    yield* Task.wait<boolean>((done) => this.writer.checkpoint(standing, () => done(true)));
    this.isTurning = false;
    this.log.say("The fleet's record is formed.", { fleet, voters, learners });
    this.adopt(standing);
  }

  /** All voters of this fleet have formed its record: now this one may stand and vote. */
  open(fleet: string): void {
    if (!this.isUnborn || this.isTurning || fleet !== this.fleet) return;
    this.isOpen = true;
    this.opening.putOnce(true);
  }

  /** One accepted config, from here or from another recorder; `undefined` where nobody who is reached holds it. */
  *config(sequence: number): Task<AcceptedConfig | undefined> {
    const own =
      this.book.configs.find((config) => config.sequence === sequence) ??
      (yield* this.store.history.read(sequence));
    return own ?? (yield* this.fetched(sequence))[0];
  }

  /** Whether every config that was ever accepted is kept here; without them this recorder doesn't count for new entries. */
  private get hasHistory(): boolean {
    return (this.book.configs[0]?.sequence ?? 1) <= this.store.history.newest + 1;
  }

  private *historyFrom(from: number): Task<Held<typeof Kind.history.return>> {
    if (this.state !== "formed") return { configs: new Uint8Array() };
    const kept = yield* this.store.history.piece(from);
    const [first] = this.book.configs;
    const inBook = kept.length === 0 && first !== undefined && from >= first.sequence;
    return {
      configs: inBook
        ? History.pack(this.book.configs.filter(({ sequence }) => sequence >= from))
        : kept,
    };
  }

  /** Configs from one on, as another recorder holds them; none where nobody who is reached does. */
  private *fetched(from: number): Task<AcceptedConfig[]> {
    const { voters, learners } = this.members;
    for (const peer of new Set([
      this.knownLeader,
      ...voters,
      ...learners,
      ...this.meeting.recorders,
    ])) {
      if (peer === this.self || peer === "") continue;
      const ret = yield* this.link.ask(peer, Kind.history, { from }, historyWaitMs);
      const configs = ret ? History.unpack(ret.configs, from) : [];
      if (configs.length > 0) return configs;
    }
    return [];
  }

  /** Learns what the history lacks, after a checkpoint from the leader or damage on the disk. */
  private *learning(): Task {
    const { history } = this.store;
    yield* history.check();
    for (;;) {
      const [file] = history.damaged;
      if (this.state === "formed" && !this.hasHistory) {
        const configs = yield* this.fetched(history.newest + 1);
        if (configs.length > 0)
          yield* Task.wait<boolean>((done) => this.writer.keep(configs, () => done(true)));
        if (this.hasHistory)
          this.log.say("The history of configs is whole.", { newest: history.newest });
        else if (configs.length > 0) continue;
      } else if (this.state === "formed" && file !== undefined) yield* this.mending(file);
      yield* Clock.rest(this.world.clock, learnMs);
    }
  }

  private *mending(file: number): Task {
    const { history } = this.store;
    const { from, to } = History.span(file, history.newest);
    this.log.warn("A file of the history is damaged; its configs are learned from the others.", {
      from,
      to,
    });
    const configs: AcceptedConfig[] = [];
    for (let next = from; next <= to; next = from + configs.length) {
      const more = yield* this.fetched(next);
      if (more.length === 0) return;
      configs.push(...more.filter(({ sequence }) => sequence <= to));
    }
    yield* Task.wait<boolean>((done) => this.writer.keep(configs, () => done(true), file));
    this.log.say("A damaged file of the history is whole again.", { from, to });
  }

  /** Begins to learn the record of a fleet that was formed by others. */
  *rejoin(fleet: string, { voters, learners }: Members): Task {
    if (this.isTurning || (this.state === "formed" && !this.isUnborn)) return;
    this.isTurning = true;
    const standing: Standing = {
      fleet,
      rejoining: World.nonce(this.world),
      term: 0,
      votedFor: "",
      lastIndex: 0,
      lastTerm: 0,
      book: this.book.checkpoint({ voters, learners }),
      entries: [],
    };
    yield* Task.wait<boolean>((done) => this.writer.checkpoint(standing, () => done(true)));
    this.isTurning = false;
    this.log.warn("Rejoining: no vote and no acknowledgment until the record is learned again.");
    this.adopt(standing);
    this.opening.putOnce(true);
  }

  /** What the leader has to do so that this recorder is a member that counts, or nothing. */
  private get membershipRequest(): string | undefined {
    if (this.rejoining)
      return JSON.stringify({ kind: "rejoin", machine: this.self, nonce: this.rejoining });
    const unheardMs = this.world.clock.nowMs() - this.heardAppendMs;
    const isForgotten = this.role !== "leader" && unheardMs > this.waits.replaceAfterMs;
    if (!isForgotten) return undefined;
    return JSON.stringify({ kind: "join", machine: this.self, fleet: this.fleet });
  }

  private joining(): Joining {
    const contacts = (): string[] => [
      this.knownLeader,
      ...this.meeting.recorders,
      ...this.place.seeds(),
    ];
    const request = (): string | undefined => this.membershipRequest;
    return new Joining(this.world, this.link, {
      self: this.self,
      get request() {
        return request();
      },
      get contacts() {
        return contacts();
      },
    });
  }

  private adopt(standing: Standing): void {
    this.fleet = standing.fleet;
    this.rejoining = standing.rejoining;
    this.term = standing.term;
    this.votedFor = standing.votedFor;
    this.baseMembers = this.book.restore(standing.book);
    this.baseIndex = standing.lastIndex;
    this.baseTerm = standing.lastTerm;
    this.entries = [...standing.entries];
    this.committed = standing.lastIndex;
    this.applied = standing.lastIndex;
    this.synced = this.lastIndex;
    this.readMembers();
    this.state = "formed";
  }

  private get lastIndex(): number {
    return this.baseIndex + this.entries.length;
  }

  private termAt(index: number): number | undefined {
    if (index === this.baseIndex) return this.baseTerm;
    return this.entries[index - this.baseIndex - 1]?.term;
  }

  private get lastTerm(): number {
    return this.termAt(this.lastIndex) ?? 0;
  }

  private readMembers(): void {
    this.members = this.baseMembers;
    this.membersIndex = this.baseIndex;
    for (const entry of this.entries) this.noteMembers(entry);
  }

  private noteMembers(entry: Entry): void {
    const members = Members.in(entry.text);
    if (!members) return;
    this.members = members;
    this.membersIndex = entry.index;
  }

  private get majority(): number {
    return Math.floor(this.members.voters.length / 2) + 1;
  }

  private grantUntilMs(): number {
    const sent = this.members.voters
      .map((voter) =>
        voter === this.self ? this.world.clock.nowMs() : (this.ackedSentMs.get(voter) ?? -Infinity),
      )
      .sort((a, b) => b - a);
    return (sent[this.majority - 1] ?? -Infinity) + this.waits.leaderGrantMs;
  }

  private electionWaitMs(): number {
    const { electionMinMs, electionMaxMs } = this.waits;
    return electionMinMs + this.world.random() * (electionMaxMs - electionMinMs);
  }

  private *following(): Task {
    let untilMs = this.heardLeaderMs + this.electionWaitMs();
    while (this.role === "follower") {
      const command = yield* this.holding.takeUntil(this.world.clock, untilMs);
      const heardMs = this.heardLeaderMs;
      if (command) this.handle(command);
      if (this.heardLeaderMs !== heardMs) untilMs = this.heardLeaderMs + this.electionWaitMs();
      else if (this.world.clock.nowMs() >= untilMs) {
        this.knownLeader = "";
        if (this.rights.stand) this.role = "preCandidate";
        else untilMs = this.world.clock.nowMs() + this.electionWaitMs();
      }
    }
  }

  private *standing(isPreVote: boolean): Task {
    const role = this.role;
    const term = this.term + 1;
    this.votes = new Set();
    if (isPreVote) this.startVoting(true, term, false);
    else this.campaign(this.handedOver);
    this.handedOver = false;
    const untilMs = this.world.clock.nowMs() + this.electionWaitMs();
    while (this.role === role) {
      const command = yield* this.holding.takeUntil(this.world.clock, untilMs);
      if (command) this.handle(command);
      if (this.role === role && this.world.clock.nowMs() >= untilMs) {
        this.role = "follower";
        this.heardLeaderMs = this.world.clock.nowMs() - this.waits.electionMinMs;
      }
    }
  }

  private campaign(handOver: boolean): void {
    this.knownLeader = "";
    this.term += 1;
    this.votedFor = this.self;
    this.votes = new Set();
    const { term } = this;
    this.writer.append([{ kind: "vote", term, text: this.self }], () => {
      if (this.role === "candidate" && this.term === term) this.startVoting(false, term, handOver);
    });
  }

  private startVoting(isPreVote: boolean, term: number, handOver: boolean): void {
    const ask: VoteAsk = {
      isPreVote,
      term,
      candidate: this.self,
      lastIndex: this.lastIndex,
      lastTerm: this.lastTerm,
      handOver,
    };
    this.holding.put({
      kind: "voted",
      peer: this.self,
      isPreVote,
      term,
      ret: { term, granted: true },
    });
    for (const peer of this.members.voters.filter((voter) => voter !== this.self))
      World.start(this.world, "record", this.asking(peer, ask));
  }

  private *asking(peer: string, ask: VoteAsk): Task {
    const ret = yield* this.link.ask(peer, Kind.vote, ask, this.waits.electionMinMs);
    if (ret)
      this.holding.put({ kind: "voted", peer, isPreVote: ask.isPreVote, term: ask.term, ret });
  }

  /** Whether the change of membership before, and an entry of this term, are committed, so that the next one may be made. */
  private get mayChangeMembers(): boolean {
    return this.membersIndex <= this.committed && this.committed >= this.leadingSinceIndex;
  }

  /** Adds the machines that asked to learn, each once the change of membership before it is committed. */
  private takeNewLearners(): void {
    for (let next = this.newLearners[0]; next; next = this.newLearners[0]) {
      const { voters, learners } = this.members;
      const { machine, done } = next;
      if (![...voters, ...learners].includes(machine)) {
        if (!this.mayChangeMembers) return;
        this.changeMembers({ voters, learners: [...learners, machine] });
      }
      this.newLearners.shift();
      done(true);
    }
  }

  private *leading(): Task {
    const { term } = this;
    this.knownLeader = this.self;
    this.matched = new Map();
    this.ackedSentMs = new Map();
    this.nudges = new Map();
    this.promises = new Map();
    this.leadingSinceIndex = this.lastIndex + 1;
    this.log.say("Leads the record.", { term });
    this.add([JSON.stringify({ kind: "leads", machine: this.self, term })], () => undefined);
    for (const hook of this.leaderHooks) hook(true);
    const startedMs = this.world.clock.nowMs();
    while (this.isLeading(term)) {
      this.keepReplicating(term);
      const command = yield* this.holding.takeUntil(
        this.world.clock,
        this.world.clock.nowMs() + this.waits.heartbeatMs,
      );
      if (command) this.handle(command);
      if (!this.isLeading(term)) break;
      const nowMs = this.world.clock.nowMs();
      if (!this.rights.lead) this.handOver("The disk doesn't keep up.");
      else if (!this.members.voters.includes(this.self) && this.committed >= this.membersIndex)
        this.handOver("No longer a voter.");
      else if (nowMs > Math.max(this.grantUntilMs(), startedMs) + 2 * this.waits.electionMaxMs)
        this.follow(this.term, "");
      else {
        this.takeNewLearners();
        this.reviewMembership(startedMs);
      }
    }
    for (const { done } of this.newLearners.splice(0)) done(false);
    for (const promise of this.promises.values()) promise.done("unknown");
    this.promises = new Map();
    for (const nudge of this.nudges.values()) nudge.put(true);
    for (const hook of this.leaderHooks) hook(false);
    this.log.say("Leads no more.", { term });
  }

  private isLeading(term: number): boolean {
    return this.role === "leader" && this.term === term;
  }

  private handOver(why: string): void {
    const { term } = this;
    const heir = this.members.voters
      .filter((voter) => voter !== this.self && this.ackedSentMs.has(voter))
      .sort((a, b) => (this.matched.get(b) ?? 0) - (this.matched.get(a) ?? 0))[0];
    this.log.warn("Hands over the lead.", { why, to: heir ?? "nobody" });
    this.follow(this.term, "");
    const link = this.link;
    if (heir !== undefined)
      World.start(
        this.world,
        "record",
        (function* () {
          yield* link.ask(heir, Kind.handOver, { term }, 300);
        })(),
      );
  }

  /** What this leader knows of the members, for a decision about them. */
  private membershipView(startedMs: number): MembershipView {
    const nowMs = this.world.clock.nowMs();
    const { voters, learners } = this.members;
    return {
      self: this.self,
      voters,
      learners,
      leaving: new Set(),
      wantedVoters: Place.voters(this.place),
      committedIndex: this.committed,
      progressOf: (member) =>
        member === this.self
          ? { silentMs: 0, answered: true, matchedIndex: this.synced }
          : {
              silentMs: nowMs - Math.max(startedMs, this.ackedSentMs.get(member) ?? startedMs),
              answered: this.ackedSentMs.has(member),
              matchedIndex: this.matched.get(member) ?? 0,
            },
      waits: {
        answersWithinMs: this.waits.electionMaxMs,
        replaceAfterMs: this.waits.replaceAfterMs,
        forgetAfterMs: this.waits.forgetAfterMs,
      },
    };
  }

  /** Makes the next change of membership, once the one before and an entry of this term are committed. */
  private reviewMembership(startedMs: number): void {
    if (!this.mayChangeMembers) return;
    const change = Membership.next(this.membershipView(startedMs));
    if (!change) return;
    const { kind, member, why } = change;
    this.log.warn("Changes the members of the record.", { change: kind, member, why });
    this.changeMembers(Membership.after(this.members, change));
  }

  private changeMembers(members: Members): void {
    this.add([JSON.stringify({ kind: "members", ...members })], () => undefined);
  }

  private keepReplicating(term: number): void {
    for (const peer of [...this.members.voters, ...this.members.learners]) {
      if (peer === this.self || this.nudges.has(peer)) continue;
      const nudge = new Holding<true>();
      this.nudges.set(peer, nudge);
      World.start(this.world, "record", this.replicating(peer, term, nudge));
    }
  }

  private *replicating(peer: string, term: number, nudge: Holding<true>): Task {
    let next = this.lastIndex;
    let sure = false;
    while (
      this.isLeading(term) &&
      (this.members.voters.includes(peer) || this.members.learners.includes(peer))
    ) {
      const sentMs = this.world.clock.nowMs();
      if (next <= this.baseIndex) {
        const standing = {
          term,
          leader: this.self,
          lastIndex: this.applied,
          lastTerm: this.termAt(this.applied) ?? 0,
          text: this.book.checkpoint(this.membersAt(this.applied)),
        };
        const ret = yield* this.link.ask(peer, Kind.checkpoint, standing, 5000);
        if (ret) {
          this.holding.put({
            kind: "acked",
            peer,
            term,
            sentMs,
            matched: ret.matched,
            counts: ret.counts,
          });
          if (ret.term > term) this.holding.put({ kind: "outdated", term: ret.term });
          if (ret.matched >= standing.lastIndex) next = ret.matched + 1;
        }
      } else {
        const from = next - this.baseIndex - 1;
        const following: Entry[] = sure ? this.entries.slice(from, from + batch.entries) : [];
        const entries: Entry[] = following.slice(0, within(following, batch));
        const previousTerm = this.termAt(next - 1) ?? 0;
        const ask = {
          term,
          leader: this.self,
          previousIndex: next - 1,
          previousTerm,
          committed: this.committed,
          entries,
        };
        const ret = yield* this.link.ask(peer, Kind.append, ask, this.waits.electionMinMs);
        if (ret && ret.term > term) this.holding.put({ kind: "outdated", term: ret.term });
        else if (ret && ret.term === term) {
          this.holding.put({
            kind: "acked",
            peer,
            term,
            sentMs,
            matched: ret.fits ? ret.matched : 0,
            counts: ret.counts,
          });
          sure = ret.fits;
          next = ret.fits
            ? Math.max(next, ret.matched + 1)
            : Math.max(0, Math.min(next - 1, ret.matched + 1));
          if (!ret.fits || this.lastIndex >= next) continue;
        }
      }
      nudge.drain();
      yield* nudge.takeUntil(this.world.clock, this.world.clock.nowMs() + this.waits.heartbeatMs);
    }
    if (this.nudges.get(peer) === nudge) this.nudges.delete(peer);
  }

  private membersAt(index: number): Members {
    let members = this.baseMembers;
    for (const entry of this.entries)
      if (entry.index <= index) members = Members.in(entry.text) ?? members;
    return members;
  }

  private add(texts: string[], done: (outcomes: Proposed[]) => void): void {
    const { term } = this;
    const first = this.lastIndex + 1;
    const fresh = texts.map((text, at) => ({ index: first + at, term, text }));
    const outcomes: Proposed[] = [];
    for (const entry of fresh) {
      this.entries.push(entry);
      this.noteMembers(entry);
      this.promises.set(entry.index, {
        term,
        done: (proposed) => {
          outcomes.push(proposed);
          if (outcomes.length === texts.length) done(outcomes);
        },
      });
    }
    this.write(fresh.map((entry) => ({ kind: "entry", ...entry })));
    for (const nudge of this.nudges.values()) nudge.put(true);
  }

  private write(records: LogRecord[]): void {
    const { term, lastIndex } = this;
    this.writer.append(records, () =>
      this.holding.put({ kind: "written", term, index: lastIndex }),
    );
  }

  private handle(command: Command): void {
    switch (command.kind) {
      case "vote":
        return this.handleVote(command.ask, command.done);
      case "append":
        return this.handleAppend(command.ask, command.done);
      case "checkpoint":
        return this.handleCheckpoint(command.ask, command.done);
      case "handOver": {
        const taken = command.term === this.term && this.role === "follower" && this.rights.stand;
        if (taken) {
          this.handedOver = true;
          this.role = "candidate";
        }
        return command.done(taken);
      }
      case "propose":
        if (this.role === "leader") return this.add(command.texts, command.done);
        return command.done(command.texts.map(() => "notLeader"));
      case "acked":
        return this.handleAcked(command);
      case "voted":
        return this.handleVoted(command);
      case "written":
        if (!this.isLeading(command.term)) return;
        this.synced = Math.max(this.synced, command.index);
        this.advance();
        return;
      case "outdated":
        if (command.term > this.term) this.follow(command.term, "");
        return;
      case "yield":
        if (this.role === "leader") this.handOver("A stop was asked for.");
        return command.done(true);
      case "learn": {
        if (this.role !== "leader") return command.done(false);
        this.newLearners.push(command);
        return this.takeNewLearners();
      }
      case "kept":
        this.book.letGo(this.store.history.newest);
        return;
      case "rejoined":
        this.rejoining = "";
        this.log.say("Rejoined: votes and acknowledges again.");
        return;
    }
  }

  private follow(term: number, leader: string): void {
    if (term > this.term) {
      this.term = term;
      this.votedFor = "";
    }
    const led = this.role === "leader";
    this.role = "follower";
    this.knownLeader = leader;
    if (leader || led) {
      this.heardLeaderMs = this.world.clock.nowMs();
      this.heardAppendMs = this.heardLeaderMs;
    }
  }

  private handleVote(ask: VoteAsk, done: (ret: VoteReturn) => void): void {
    const { rights } = this;
    const voluntary = ask.isPreVote ? rights.preVote : rights.vote;
    const mayVote = ask.handOver ? rights.voteOnHandOver : voluntary;
    const upToDate =
      ask.lastTerm > this.lastTerm ||
      (ask.lastTerm === this.lastTerm && ask.lastIndex >= this.lastIndex);
    if (!mayVote || ask.term < this.term) return done({ term: this.term, granted: false });
    if (ask.isPreVote) return done({ term: this.term, granted: upToDate && ask.term > this.term });
    if (ask.term > this.term) this.follow(ask.term, "");
    const granted = upToDate && (this.votedFor === "" || this.votedFor === ask.candidate);
    const { term } = this;
    if (granted) {
      this.votedFor = ask.candidate;
      this.heardLeaderMs = this.world.clock.nowMs();
    }
    this.writer.append([{ kind: "vote", term, text: this.votedFor }], () =>
      done({ term, granted }),
    );
  }

  private handleVoted(command: {
    peer: string;
    isPreVote: boolean;
    term: number;
    ret: VoteReturn;
  }): void {
    const { peer, isPreVote, term, ret } = command;
    if (ret.term > term) return this.follow(ret.term, "");
    if (
      isPreVote
        ? this.role !== "preCandidate" || term !== this.term + 1
        : this.role !== "candidate" || term !== this.term
    )
      return;
    if (!ret.granted) return;
    this.votes.add(peer);
    const count = this.members.voters.filter((voter) => this.votes.has(voter)).length;
    if (count >= this.majority) this.role = isPreVote ? "candidate" : "leader";
  }

  private handleAppend(ask: AppendAsk, done: (ret: AppendReturn) => void): void {
    if (ask.term < this.term)
      return done({ term: this.term, fits: false, counts: false, matched: 0 });
    const records: LogRecord[] =
      ask.term > this.term ? [{ kind: "vote", term: ask.term, text: "" }] : [];
    this.follow(ask.term, ask.leader);
    const { term } = this;
    const counts = this.rights.countForCommit;
    const before = this.termAt(ask.previousIndex);
    if (ask.previousIndex >= this.baseIndex && before !== ask.previousTerm) {
      return done({
        term,
        fits: false,
        counts: false,
        matched: Math.min(this.lastIndex, ask.previousIndex - 1),
      });
    }
    for (const entry of ask.entries) {
      if (entry.index <= this.baseIndex) continue;
      const known = this.termAt(entry.index);
      if (known === entry.term) continue;
      if (known !== undefined) {
        this.entries.splice(entry.index - this.baseIndex - 1);
        this.synced = Math.min(this.synced, this.lastIndex);
        this.cuts += 1;
        records.push({ kind: "cut", index: entry.index });
        this.readMembers();
      }
      this.entries.push(entry);
      this.noteMembers(entry);
      records.push({ kind: "entry", ...entry });
    }
    const matched = Math.max(ask.previousIndex, this.baseIndex, ask.entries.at(-1)?.index ?? 0);
    const { cuts } = this;
    const finish = (): void => {
      if (this.term !== term || this.cuts !== cuts)
        return done({ term: this.term, fits: false, counts: false, matched: 0 });
      this.synced = Math.max(this.synced, matched);
      done({ term, fits: true, counts, matched });
    };
    if (records.length > 0 || this.synced < matched) this.writer.append(records, finish);
    else finish();
    this.commit(Math.min(ask.committed, matched));
  }

  private handleCheckpoint(ask: CheckpointAsk, done: (ret: CheckpointReturn) => void): void {
    if (ask.term < this.term) return done({ term: this.term, counts: false, matched: 0 });
    this.follow(ask.term, ask.leader);
    const { term } = this;
    const counts = this.rights.countForCommit;
    if (ask.lastIndex <= this.committed) return done({ term, counts, matched: this.committed });
    const standing: Standing = {
      fleet: this.fleet,
      rejoining: this.rejoining,
      term,
      votedFor: this.votedFor,
      lastIndex: ask.lastIndex,
      lastTerm: ask.lastTerm,
      book: ask.text,
      entries:
        this.termAt(ask.lastIndex) === ask.lastTerm
          ? this.entries.slice(ask.lastIndex - this.baseIndex)
          : [],
    };
    this.adopt(standing);
    this.synced = 0;
    this.cuts += 1;
    const { cuts } = this;
    this.writer.checkpoint(standing, () => {
      if (this.term !== term || this.cuts !== cuts)
        return done({ term: this.term, counts: false, matched: 0 });
      this.synced = Math.max(this.synced, standing.lastIndex + standing.entries.length);
      done({ term, counts, matched: ask.lastIndex });
    });
  }

  private handleAcked(command: {
    peer: string;
    term: number;
    sentMs: number;
    matched: number;
    counts: boolean;
  }): void {
    if (!this.isLeading(command.term)) return;
    if (command.counts) {
      this.matched.set(
        command.peer,
        Math.max(this.matched.get(command.peer) ?? 0, command.matched),
      );
      this.ackedSentMs.set(
        command.peer,
        Math.max(this.ackedSentMs.get(command.peer) ?? -Infinity, command.sentMs),
      );
    }
    this.advance();
  }

  private advance(): void {
    const reached = this.members.voters
      .map((voter) => (voter === this.self ? this.synced : (this.matched.get(voter) ?? 0)))
      .sort((a, b) => b - a);
    const index = reached[this.majority - 1] ?? 0;
    if (index > this.committed && this.termAt(index) === this.term) this.commit(index);
  }

  private commit(index: number): void {
    this.committed = Math.max(this.committed, Math.min(index, this.lastIndex));
    while (this.applied < this.committed) {
      const entry = this.entries[this.applied - this.baseIndex];
      if (entry?.index !== this.applied + 1)
        throw new RecordError(`Entry ${this.applied + 1} is not where it should be.`);
      this.applied = entry.index;
      if (entry.text.startsWith('{"kind":"rejoined"')) this.noteRejoined(entry.text);
      const outcome = this.book.apply(entry.index, entry.text);
      const promise = this.promises.get(entry.index);
      this.promises.delete(entry.index);
      promise?.done(promise.term === entry.term ? { index: entry.index, outcome } : "unknown");
    }
    if (
      !this.checkpointing &&
      this.writer.addedBytes > this.waits.checkpointBytes &&
      this.state === "formed"
    )
      this.writeCheckpoint("");
  }

  private noteRejoined(text: string): void {
    const mark = create(JSON.parse(text), markShape);
    if (mark.machine === this.self && this.rejoining !== "" && mark.nonce === this.rejoining)
      this.writeCheckpoint("rejoined");
  }

  private writeCheckpoint(then: "rejoined" | ""): void {
    this.checkpointing = true;
    const lastIndex = this.applied;
    const lastTerm = this.termAt(lastIndex) ?? 0;
    const members = this.membersAt(lastIndex);
    const newest = this.book.inForce?.sequence ?? 0;
    const keeps = this.hasHistory;
    if (keeps) this.writer.keep(this.book.configs, () => this.holding.put({ kind: "kept" }));
    const standing: Standing = {
      fleet: this.fleet,
      rejoining: then === "rejoined" ? "" : this.rejoining,
      term: this.term,
      votedFor: this.votedFor,
      lastIndex,
      lastTerm,
      book: this.book.checkpoint(members, keeps ? newest : 0),
      entries: this.entries.slice(lastIndex - this.baseIndex),
    };
    const applied = this.entries.slice(0, lastIndex - this.baseIndex).reverse();
    const keepFrom = lastIndex - (applied.length > 0 ? within(applied, kept) : 0);
    const keptMembers = this.membersAt(keepFrom);
    const keptTerm = this.termAt(keepFrom) ?? 0;
    this.entries = this.entries.slice(keepFrom - this.baseIndex);
    this.baseIndex = keepFrom;
    this.baseTerm = keptTerm;
    this.baseMembers = keptMembers;
    this.writer.checkpoint(standing, () => {
      this.checkpointing = false;
      if (then === "rejoined") this.holding.put({ kind: "rejoined" });
    });
  }
}
