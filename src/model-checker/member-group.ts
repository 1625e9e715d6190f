import { type Members, parseMembersEntry } from "../consensus/members.js";
import { emptyContent } from "./disk-contents.js";
import { InvariantChecks } from "./invariant-checks.js";
import { OperationHistory } from "./history/operation-history.js";
import type { Message, ModelReply, ModelRequest } from "./message.js";
import { ModelDisk } from "./model-disk.js";
import { ModelMember, type GroupEnvironment } from "./model-member.js";
import { RandomSource } from "./random-source.js";
import type { GroupSettings } from "./group-settings.js";
import type { Step } from "./step.js";

/** The limit of messages in flight; beyond it the oldest are lost. */
const MAX_MESSAGES = 48;

/** By how many voters a group may exceed the wanted number. */
const MAX_EXTRA_VOTERS = 2;

const linkName = (from: string, to: string): string => `${from}>${to}`;

/** Members, the messages between them, and the checks on all of it; moved on by steps. */
export class MemberGroup implements GroupEnvironment {
  readonly settings: GroupSettings;
  readonly members = new Map<string, ModelMember>();
  readonly messages = new Map<string, Message>();
  readonly blockedLinks = new Set<string>();
  readonly history: OperationHistory;
  checks: InvariantChecks;
  nowMs = 1000;
  /**
   * Whether the losses so far are inside what is tolerated, so that the group must heal: no more than that at once, of
   * emptied, stopped and cut off voters together, nor any while a voter's place is being filled.
   */
  isWithinTolerance = true;
  private readonly counts = new Map<string, number>();
  private lastValue = 0;
  /** Writes under way, by the entry that carries them: who leads, in which term, and the call. */
  private readonly calls = new Map<string, number>();

  constructor(settings: GroupSettings) {
    this.settings = settings;
    const { names, wantedVoters } = settings;
    const members: Members = {
      voters: names.slice(0, wantedVoters),
      learners: names.slice(wantedVoters),
    };
    this.checks = new InvariantChecks(members);
    this.history = new OperationHistory();
    names.forEach((name, at) => {
      const member = new ModelMember(name, settings.clockRates[at] ?? 1, this, new ModelDisk());
      member.disk.content = emptyContent(members);
      this.members.set(name, member);
      member.start();
    });
  }

  /** A copy that goes its own way. */
  clone(): MemberGroup {
    const copy = new MemberGroup(this.settings);
    copy.nowMs = this.nowMs;
    copy.isWithinTolerance = this.isWithinTolerance;
    copy.lastValue = this.lastValue;
    copy.checks = this.checks.clone();
    copy.members.clear();
    copy.messages.clear();
    for (const [name, member] of this.members) copy.members.set(name, member.clone(copy));
    for (const [id, message] of this.messages) copy.messages.set(id, message);
    for (const cut of this.blockedLinks) copy.blockedLinks.add(cut);
    for (const [name, count] of this.counts) copy.counts.set(name, count);
    copy.counts.forEach((_, name) => {
      if (!this.counts.has(name)) copy.counts.delete(name);
    });
    for (const [entry, call] of this.calls) copy.calls.set(entry, call);
    copy.history.copyFrom(this.history);
    return copy;
  }

  /** What tells two situations of the group apart. */
  get fingerprint(): string {
    const members = [...this.members.values()].map((member) => member.fingerprint);
    const messages = [...this.messages.values()]
      .map(({ from, to, body }) => JSON.stringify([from, to, body]))
      .sort();
    return [...members, ...messages, [...this.blockedLinks].sort().join()].join("\n");
  }

  member(name: string): ModelMember {
    const member = this.members.get(name);
    if (member === undefined) throw new Error(`There is no member ${name}.`);
    return member;
  }

  /** Does one step and checks what must hold; a step that makes no sense now does nothing. */
  execute(step: Step): void {
    this.perform(step);
    this.countLosses();
    this.checks.checkMembers(this.members.values());
  }

  private perform(step: Step): void {
    switch (step.kind) {
      case "advance":
        this.nowMs += step.ms;
        for (const member of this.members.values())
          if (!step.paused.includes(member.name)) member.tick();
        return;
      case "deliver":
        return this.deliver(step.message, step.twice);
      case "lose":
        this.messages.delete(step.message);
        return;
      case "sync":
        return this.member(step.member).sync();
      case "crash":
        return this.member(step.member).crash(step.keptWrites);
      case "wipe":
        if (this.mayWipe(step.member)) this.member(step.member).wipe();
        return;
      case "start":
        return this.member(step.member).start();
      case "cut":
        this.blockedLinks.add(linkName(step.from, step.to));
        return;
      case "mend":
        this.blockedLinks.delete(linkName(step.from, step.to));
        return;
      case "write":
        return this.write(this.member(step.member));
      case "read":
        return this.read(this.member(step.member));
      case "handOver":
        return this.member(step.member).transferLeadership();
      case "compact":
        return this.member(step.member).compact();
      case "demote":
        return this.demote(this.member(step.member), step.voter);
      case "promote":
        return this.promote(this.member(step.member), step.learner);
    }
  }

  /**
   * Whether a disk may be lost now: no more than are tolerated at once. A loss counts until its machine is whole again
   * or replaced, and a change of members under way is not over.
   */
  mayWipe(name: string): boolean {
    const { voters } = this.checks.latestMembers;
    const { wantedVoters } = this.settings;
    const tolerated = (wantedVoters - 1) / 2;
    const lost = voters.filter((voter) => !this.member(voter).hasCompleteDisk);
    const isChanging = [...this.members.values()].some(
      ({ disk }) =>
        disk.content?.entries.some(
          ({ index, text }) =>
            index > this.checks.lastCommittedIndex && parseMembersEntry(text) !== undefined,
        ) === true ||
        disk.pending.some(
          ({ content }) =>
            "records" in content &&
            content.records.some(
              (record) => record.kind === "entry" && parseMembersEntry(record.text) !== undefined,
            ),
        ),
    );
    const counts = voters.includes(name) && !lost.includes(name) ? 1 : 0;
    return voters.length === wantedVoters && !isChanging && lost.length + counts <= tolerated;
  }

  private countLosses(): void {
    if (!this.isWithinTolerance) return;
    const { wantedVoters, names } = this.settings;
    if (names.every((name) => this.member(name).hasCompleteDisk)) return;
    const cutOff = new Set([...this.blockedLinks].flatMap((cut) => cut.split(">")));
    const { voters } = this.checks.latestMembers;
    const lost = voters.filter(
      (voter) =>
        !this.member(voter).hasCompleteDisk || !this.member(voter).isUp || cutOff.has(voter),
    );
    const isFilling = [...this.members.values()].some(
      ({ isUp, state }) => isUp && state.members.voters.length !== wantedVoters,
    );
    if (isFilling || lost.length > (wantedVoters - 1) / 2) this.isWithinTolerance = false;
  }

  private deliver(id: string, twice: boolean): void {
    const message = this.messages.get(id);
    if (message === undefined || this.blockedLinks.has(linkName(message.from, message.to))) return;
    if (!twice) this.messages.delete(id);
    const receiver = this.member(message.to);
    const { body, from, requestId } = message;
    if (body.direction === "request") receiver.receive(from, requestId, body.request);
    else receiver.receiveReply(requestId, body.reply);
  }

  private write(member: ModelMember): void {
    const value = this.lastValue + 1;
    if (!member.write(value)) return;
    this.lastValue = value;
    const { term, log } = member.state;
    this.calls.set(`${member.name} ${term} ${log.lastIndex}`, this.history.begin("write", value));
  }

  private read(member: ModelMember): void {
    if (!member.canServeReads) return;
    this.history.end(this.history.begin("read"), member.registerValue);
  }

  /** Demotes another voter, as production's choice of members does; a leader never demotes itself. */
  private demote(leader: ModelMember, voter: string): void {
    const { voters, learners } = leader.state.members;
    const hasEnough = voters.length >= this.settings.wantedVoters;
    if (!hasEnough || !voters.includes(voter) || voter === leader.name) return;
    leader.changeMembers({
      voters: voters.filter((one) => one !== voter),
      learners: [...learners, voter],
    });
  }

  private promote(leader: ModelMember, learner: string): void {
    const { voters, learners } = leader.state.members;
    if (
      !learners.includes(learner) ||
      voters.length >= this.settings.wantedVoters + MAX_EXTRA_VOTERS
    )
      return;
    leader.changeMembers({
      voters: [...voters, learner],
      learners: learners.filter((one) => one !== learner),
    });
  }

  send(from: string, to: string, request: ModelRequest): string {
    const id = this.nameFor(from, to, request.kind);
    this.put({ id, from, to, requestId: id, body: { direction: "request", request } });
    return id;
  }

  reply(from: string, to: string, requestId: string, reply: ModelReply): void {
    const id = this.nameFor(from, to, `${reply.kind}-reply`);
    this.put({ id, from, to, requestId, body: { direction: "reply", reply } });
  }

  randomFraction(member: string): number {
    const count = this.next(`draw ${member}`);
    const place = this.settings.names.indexOf(member);
    return new RandomSource(this.settings.seed * 1009 + place * 97 + count).next();
  }

  createNonce(): string {
    return `nonce-${this.next("nonce")}`;
  }

  onApplied(member: ModelMember, index: number, term: number, text: string): void {
    this.checks.onApplied(member, index, term, text);
    const key = `${member.name} ${term} ${index}`;
    const call = this.calls.get(key);
    if (call === undefined || member.state.role !== "leader" || member.state.term !== term) return;
    this.calls.delete(key);
    this.history.end(call);
  }

  onElected(member: ModelMember): void {
    this.checks.onElected(member);
  }

  knownMembers(): Members | undefined {
    const known = [...this.members.values()].find(
      (member) => member.isUp && member.disk.content !== undefined,
    );
    return known?.state.baseMembers;
  }

  private next(name: string): number {
    const count = (this.counts.get(name) ?? 0) + 1;
    this.counts.set(name, count);
    return count;
  }

  private nameFor(from: string, to: string, kind: string): string {
    const name = `${linkName(from, to)}:${kind}`;
    return `${name}#${this.next(name)}`;
  }

  private put(message: Message): void {
    this.messages.set(message.id, message);
    const [oldest] = this.messages.keys();
    if (this.messages.size > MAX_MESSAGES && oldest !== undefined) this.messages.delete(oldest);
  }
}
