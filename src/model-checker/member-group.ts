/** A group of members in the model checker: executes steps and checks the invariants after each. */
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

/** The limit of messages in flight; the oldest message beyond it is lost. */
const MAX_MESSAGES = 48;

/** The number of voters that a group may have beyond the wanted number. */
const MAX_EXTRA_VOTERS = 2;

const linkName = (from: string, to: string): string => `${from}>${to}`;

/** The members, the messages between them, and the invariant checks; the state changes only by steps. */
export class MemberGroup implements GroupEnvironment {
  readonly settings: GroupSettings;
  readonly members = new Map<string, ModelMember>();
  readonly messages = new Map<string, Message>();
  /** The links that deliver no messages, one direction each, as `from>to`. */
  readonly blockedLinks = new Set<string>();
  readonly history: OperationHistory;
  checks: InvariantChecks;
  nowMs = 1000;
  /**
   * Whether the failures so far are within the fault tolerance, so that the group must recover: whenever a disk was incomplete,
   * at most a tolerated number of voters was wiped, stopped or partitioned at once, and no voter was being replaced.
   */
  isWithinTolerance = true;
  private readonly counters = new Map<string, number>();
  private lastValue = 0;
  /** The operations of pending writes, by leader, term and index of the entry. */
  private readonly pendingWrites = new Map<string, number>();

  constructor(settings: GroupSettings) {
    this.settings = settings;
    const { names, wantedVoters } = settings;
    const members: Members = {
      voters: names.slice(0, wantedVoters),
      learners: names.slice(wantedVoters),
    };
    this.checks = new InvariantChecks(members);
    this.history = new OperationHistory();
    names.forEach((name, position) => {
      const member = new ModelMember(
        name,
        settings.clockRates[position] ?? 1,
        this,
        new ModelDisk(),
      );
      member.disk.content = emptyContent(members);
      this.members.set(name, member);
      member.start();
    });
  }

  /** Creates an independent copy. */
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
    for (const link of this.blockedLinks) copy.blockedLinks.add(link);
    for (const [name, count] of this.counters) copy.counters.set(name, count);
    copy.counters.forEach((_, name) => {
      if (!this.counters.has(name)) copy.counters.delete(name);
    });
    for (const [entry, operation] of this.pendingWrites) copy.pendingWrites.set(entry, operation);
    copy.history.copyFrom(this.history);
    return copy;
  }

  /** A text that is equal for equal states of the group. */
  get fingerprint(): string {
    const members = [...this.members.values()].map((member) => member.fingerprint);
    const messages = [...this.messages.values()]
      .map(({ from, to, body }) => JSON.stringify([from, to, body]))
      .sort();
    return [...members, ...messages, [...this.blockedLinks].sort().join()].join("\n");
  }

  member(name: string): ModelMember {
    const member = this.members.get(name);
    if (member === undefined) throw new Error(`unknown member "${name}"`);
    return member;
  }

  /** Executes one step and checks the invariants; a step that is not applicable now has no effect. */
  execute(step: Step): void {
    this.executeStep(step);
    this.updateTolerance();
    this.checks.checkMembers(this.members.values());
  }

  private executeStep(step: Step): void {
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
   * Whether a disk may be lost now without exceeding the fault tolerance. A loss counts until the member has a complete disk
   * again or is replaced. No disk may be lost while a change of members is uncommitted.
   */
  mayWipe(name: string): boolean {
    const { voters } = this.checks.latestMembers;
    const { wantedVoters } = this.settings;
    const tolerated = (wantedVoters - 1) / 2;
    const incomplete = voters.filter((voter) => !this.member(voter).hasCompleteDisk);
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
    const addedLosses = voters.includes(name) && !incomplete.includes(name) ? 1 : 0;
    return (
      voters.length === wantedVoters && !isChanging && incomplete.length + addedLosses <= tolerated
    );
  }

  private updateTolerance(): void {
    if (!this.isWithinTolerance) return;
    const { wantedVoters, names } = this.settings;
    if (names.every((name) => this.member(name).hasCompleteDisk)) return;
    const partitioned = new Set([...this.blockedLinks].flatMap((link) => link.split(">")));
    const { voters } = this.checks.latestMembers;
    const unavailable = voters.filter(
      (voter) =>
        !this.member(voter).hasCompleteDisk || !this.member(voter).isUp || partitioned.has(voter),
    );
    const isReplacingVoter = [...this.members.values()].some(
      ({ isUp, state }) => isUp && state.members.voters.length !== wantedVoters,
    );
    if (isReplacingVoter || unavailable.length > (wantedVoters - 1) / 2)
      this.isWithinTolerance = false;
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
    this.pendingWrites.set(
      `${member.name} ${term} ${log.lastIndex}`,
      this.history.begin("write", value),
    );
  }

  private read(member: ModelMember): void {
    if (!member.canServeReads) return;
    this.history.end(this.history.begin("read"), member.registerValue);
  }

  /** Demotes a voter other than the leader, as the membership manager does; a leader never demotes itself. */
  private demote(leader: ModelMember, voter: string): void {
    const { voters, learners } = leader.state.members;
    const hasEnough = voters.length >= this.settings.wantedVoters;
    if (!hasEnough || !voters.includes(voter) || voter === leader.name) return;
    leader.changeMembers({
      voters: voters.filter((other) => other !== voter),
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
      learners: learners.filter((other) => other !== learner),
    });
  }

  send(from: string, to: string, request: ModelRequest): string {
    const id = this.createMessageId(from, to, request.kind);
    this.enqueue({ id, from, to, requestId: id, body: { direction: "request", request } });
    return id;
  }

  reply(from: string, to: string, requestId: string, reply: ModelReply): void {
    const id = this.createMessageId(from, to, `${reply.kind}-reply`);
    this.enqueue({ id, from, to, requestId, body: { direction: "reply", reply } });
  }

  randomFraction(member: string): number {
    const count = this.nextCount(`draw ${member}`);
    const position = this.settings.names.indexOf(member);
    return new RandomSource(this.settings.seed * 1009 + position * 97 + count).next();
  }

  createNonce(): string {
    return `nonce-${this.nextCount("nonce")}`;
  }

  onApplied(member: ModelMember, index: number, term: number, text: string): void {
    this.checks.onApplied(member, index, term, text);
    const key = `${member.name} ${term} ${index}`;
    const operation = this.pendingWrites.get(key);
    if (operation === undefined || member.state.role !== "leader" || member.state.term !== term)
      return;
    this.pendingWrites.delete(key);
    this.history.end(operation);
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

  private nextCount(name: string): number {
    const count = (this.counters.get(name) ?? 0) + 1;
    this.counters.set(name, count);
    return count;
  }

  private createMessageId(from: string, to: string, kind: string): string {
    const name = `${linkName(from, to)}:${kind}`;
    return `${name}#${this.nextCount(name)}`;
  }

  private enqueue(message: Message): void {
    this.messages.set(message.id, message);
    const [oldest] = this.messages.keys();
    if (this.messages.size > MAX_MESSAGES && oldest !== undefined) this.messages.delete(oldest);
  }
}
