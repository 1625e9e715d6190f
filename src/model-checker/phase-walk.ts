import type { MemberGroup } from "./member-group.js";
import type { ModelMember } from "./model-member.js";
import type { RandomSource } from "./random-source.js";
import type { Step } from "./step.js";

/** How likely a phase ends with the next step. */
const phaseEndProbability = 0.03;
const timeStepsMs = [5, 20, 60];

/**
 * Draws steps in phases. In each, some members reach one another and nothing is lost among them; the others are cut
 * off. Between two phases members stop, lose what was not synced or their disks, and leaders that may be cut off are
 * told to write or to change the members. So histories arise in which each part goes on by what it knows.
 */
export class PhaseWalk {
  private readonly random: RandomSource;
  private readonly hasWipes: boolean;
  private readonly hasChanges: boolean;
  private planned: Step[] = [];

  constructor(random: RandomSource) {
    this.random = random;
    this.hasWipes = random.chance(0.5);
    this.hasChanges = random.chance(0.4);
  }

  next(group: MemberGroup): Step {
    if (this.planned.length === 0 && this.random.chance(phaseEndProbability)) this.plan(group);
    return this.planned.shift() ?? this.progress(group);
  }

  private plan(group: MemberGroup): void {
    const { random } = this;
    for (const member of group.members.values()) {
      if (!member.isUp) this.planned.push({ kind: "start", member: member.name });
      else if (random.chance(0.12)) this.stop(member.name);
      else if (member.state.role === "leader") this.command(member);
    }
    this.partition(group);
  }

  private stop(member: string): void {
    const wipes = this.hasWipes && this.random.chance(0.4);
    this.planned.push(
      wipes
        ? { kind: "wipe", member }
        : { kind: "crash", member, keptWrites: this.random.below(2) },
    );
    if (this.random.chance(0.7)) this.planned.push({ kind: "start", member });
  }

  private command({ name, state }: ModelMember): void {
    const { random } = this;
    if (random.chance(0.5)) this.planned.push({ kind: "write", member: name });
    if (!this.hasChanges || !random.chance(0.5)) return;
    const learner = random.oneOf(state.members.learners);
    const voter = random.oneOf(state.members.voters);
    if (learner !== undefined && random.chance(0.6))
      this.planned.push({ kind: "promote", member: name, learner });
    else if (voter !== undefined) this.planned.push({ kind: "demote", member: name, voter });
  }

  private partition(group: MemberGroup): void {
    const { names } = group.settings;
    const together = new Set(names.filter(() => this.random.chance(0.6)));
    for (const from of names)
      for (const to of names) {
        if (from === to) continue;
        const isCut = group.blockedLinks.has(`${from}>${to}`);
        const reaches = together.has(from) && together.has(to);
        if (isCut && reaches) this.planned.push({ kind: "mend", from, to });
        if (!isCut && !reaches) this.planned.push({ kind: "cut", from, to });
      }
  }

  private progress(group: MemberGroup): Step {
    const { random } = this;
    const writing = [...group.members.values()].filter(({ disk }) => disk.pending.length > 0);
    const writer = random.oneOf(writing);
    if (writer !== undefined && random.chance(0.5)) return { kind: "sync", member: writer.name };
    const open = [...group.messages.values()].filter(
      ({ from, to }) => !group.blockedLinks.has(`${from}>${to}`),
    );
    const message = random.chance(0.15) ? random.oneOf(open) : open[0];
    if (message !== undefined && random.chance(0.9))
      return { kind: "deliver", message: message.id, twice: random.chance(0.02) };
    return { kind: "advance", ms: random.oneOf(timeStepsMs) ?? 20, paused: [] };
  }
}
