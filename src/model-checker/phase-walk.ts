/** Random walks in phases, each with a different network partition. */
import type { MemberGroup } from "./member-group.js";
import type { ModelMember } from "./model-member.js";
import type { RandomSource } from "./random-source.js";
import type { Step } from "./step.js";

/** The probability per step that a phase ends. */
const phaseEndProbability = 0.03;
/** The durations by which time advances in one step. */
const timeStepsMs = [5, 20, 60];

/**
 * Draws steps in phases. In each phase some members are connected and lose no messages; the others are isolated. Between two
 * phases, members crash with the loss of unsynced writes or lose their disks. Leaders, which the next phase may isolate, write
 * or change the members. In such histories each side of a partition continues with the state that it has.
 */
export class PhaseWalk {
  private readonly random: RandomSource;
  private readonly hasWipes: boolean;
  private readonly hasMembershipChanges: boolean;
  private plannedSteps: Step[] = [];

  constructor(random: RandomSource) {
    this.random = random;
    this.hasWipes = random.chance(0.5);
    this.hasMembershipChanges = random.chance(0.4);
  }

  next(group: MemberGroup): Step {
    if (this.plannedSteps.length === 0 && this.random.chance(phaseEndProbability))
      this.planPhaseChange(group);
    return this.plannedSteps.shift() ?? this.nextProgress(group);
  }

  private planPhaseChange(group: MemberGroup): void {
    const { random } = this;
    for (const member of group.members.values()) {
      if (!member.isUp) this.plannedSteps.push({ kind: "start", member: member.name });
      else if (random.chance(0.12)) this.planStop(member.name);
      else if (member.state.role === "leader") this.planCommands(member);
    }
    this.planPartition(group);
  }

  private planStop(member: string): void {
    const wipes = this.hasWipes && this.random.chance(0.4);
    this.plannedSteps.push(
      wipes
        ? { kind: "wipe", member }
        : { kind: "crash", member, keptWrites: this.random.below(2) },
    );
    if (this.random.chance(0.7)) this.plannedSteps.push({ kind: "start", member });
  }

  private planCommands({ name, state }: ModelMember): void {
    const { random } = this;
    if (random.chance(0.5)) this.plannedSteps.push({ kind: "write", member: name });
    if (!this.hasMembershipChanges || !random.chance(0.5)) return;
    const learner = random.oneOf(state.members.learners);
    const voter = random.oneOf(state.members.voters);
    if (learner !== undefined && random.chance(0.6))
      this.plannedSteps.push({ kind: "promote", member: name, learner });
    else if (voter !== undefined) this.plannedSteps.push({ kind: "demote", member: name, voter });
  }

  private planPartition(group: MemberGroup): void {
    const { names } = group.settings;
    const connected = new Set(names.filter(() => this.random.chance(0.6)));
    for (const from of names)
      for (const to of names) {
        if (from === to) continue;
        const isBlocked = group.blockedLinks.has(`${from}>${to}`);
        const isConnected = connected.has(from) && connected.has(to);
        if (isBlocked && isConnected) this.plannedSteps.push({ kind: "mend", from, to });
        if (!isBlocked && !isConnected) this.plannedSteps.push({ kind: "cut", from, to });
      }
  }

  private nextProgress(group: MemberGroup): Step {
    const { random } = this;
    const writers = [...group.members.values()].filter(({ disk }) => disk.pending.length > 0);
    const writer = random.oneOf(writers);
    if (writer !== undefined && random.chance(0.5)) return { kind: "sync", member: writer.name };
    const deliverable = [...group.messages.values()].filter(
      ({ from, to }) => !group.blockedLinks.has(`${from}>${to}`),
    );
    const message = random.chance(0.15) ? random.oneOf(deliverable) : deliverable[0];
    if (message !== undefined && random.chance(0.9))
      return { kind: "deliver", message: message.id, twice: random.chance(0.02) };
    return { kind: "advance", ms: random.oneOf(timeStepsMs) ?? 20, paused: [] };
  }
}
