/** Random walks: draws the steps of a run by a failure profile, or in phases. */
import type { MemberGroup } from "./member-group.js";
import { PhaseWalk } from "./phase-walk.js";
import { RandomSource } from "./random-source.js";
import type { Step } from "./step.js";

/** The probability of each kind of failure per step, for one run. */
interface FailureProfile {
  readonly loss: number;
  readonly crash: number;
  readonly wipe: number;
  readonly linkBlock: number;
  readonly isolation: number;
  readonly pause: number;
  readonly membership: number;
  readonly leadershipTransfer: number;
  /** The probability that a message is delivered out of order. */
  readonly reordering: number;
  readonly slowDisk: number;
  /** The durations by which time advances in one step while a member leads. */
  readonly timeStepsMs: readonly number[];
}

const noFailures: FailureProfile = {
  loss: 0,
  crash: 0,
  wipe: 0,
  linkBlock: 0,
  isolation: 0,
  pause: 0,
  membership: 0,
  leadershipTransfer: 0,
  reordering: 0,
  slowDisk: 0,
  timeStepsMs: [2, 5, 10],
};

/** A profile with all kinds of failures, each with a random probability that is often 0. */
const drawMixedProfile = (random: RandomSource): FailureProfile => {
  const upTo = (max: number): number => (random.chance(0.4) ? 0 : max * random.next() ** 2);
  return {
    loss: upTo(0.15),
    crash: upTo(0.04),
    wipe: upTo(0.03),
    linkBlock: upTo(0.04),
    isolation: upTo(0.05),
    pause: upTo(0.4),
    membership: upTo(0.06),
    leadershipTransfer: upTo(0.02),
    reordering: upTo(0.8),
    slowDisk: upTo(0.8),
    timeStepsMs: random.oneOf([
      [2, 5, 10],
      [5, 20, 60],
      [20, 60, 150],
    ]) ?? [20],
  };
};

/**
 * Draws the failure profile of a run. A third of the profiles have all kinds of failures. The others have few kinds, chosen to
 * interact, so that many entries are committed between failures.
 */
const drawProfile = (random: RandomSource): FailureProfile => {
  const nonZero = (max: number): number => max * (0.2 + 0.8 * random.next());
  switch (random.below(6)) {
    case 0:
      return { ...noFailures, isolation: nonZero(0.02), pause: nonZero(0.2) };
    case 1:
      return {
        ...noFailures,
        isolation: nonZero(0.015),
        crash: nonZero(0.03),
        slowDisk: nonZero(0.8),
      };
    case 2:
      return { ...noFailures, isolation: nonZero(0.015), wipe: nonZero(0.02) };
    case 3:
      return {
        ...noFailures,
        isolation: nonZero(0.015),
        crash: nonZero(0.01),
        membership: nonZero(0.05),
      };
    default:
      return drawMixedProfile(random);
  }
};

/** The durations by which time advances in one step while no member leads: longer, so that elections start soon. */
const leaderlessTimeStepsMs = [20, 60, 150];

const isLeader = ({ isUp, state }: { isUp: boolean; state: { role: string } }): boolean =>
  isUp && state.role === "leader";

/** Draws steps for a group; the same seed gives the same steps. */
export class RandomWalk {
  private readonly random: RandomSource;
  private readonly profile: FailureProfile;
  private readonly phaseWalk: PhaseWalk | undefined;
  /** Steps that are executed one after the other, before another is drawn. */
  private plannedSteps: Step[] = [];

  constructor(seed: number) {
    this.random = new RandomSource(seed);
    this.profile = drawProfile(this.random);
    this.phaseWalk = this.random.chance(0.5) ? new PhaseWalk(this.random) : undefined;
  }

  next(group: MemberGroup): Step {
    if (this.phaseWalk !== undefined) return this.phaseWalk.next(group);
    const plannedStep = this.plannedSteps.shift();
    return (
      plannedStep ??
      this.nextFailure(group) ??
      this.nextOperation(group) ??
      this.nextProgress(group)
    );
  }

  private drawMember(group: MemberGroup): string {
    return this.random.oneOf(group.settings.names) ?? "";
  }

  private drawLeader(group: MemberGroup): string {
    const leaders = [...group.members.values()].filter(isLeader);
    return this.random.oneOf(leaders)?.name ?? this.drawMember(group);
  }

  /** Draws a member, mostly a voter, since only voters elect and commit. */
  private drawVoter(group: MemberGroup): string {
    const voter = this.random.oneOf(group.checks.latestMembers.voters);
    return voter === undefined || this.random.chance(0.2) ? this.drawMember(group) : voter;
  }

  private nextFailure(group: MemberGroup): Step | undefined {
    const { random, profile } = this;
    const stopped = [...group.members.values()].find(({ isUp }) => !isUp);
    if (stopped !== undefined && random.chance(0.06))
      return { kind: "start", member: stopped.name };
    if (random.chance(profile.crash)) return this.crash(group);
    if (random.chance(profile.wipe)) return this.wipe(group);
    if (group.blockedLinks.size > 0 && random.chance(0.03)) return this.healLinks(group);
    if (random.chance(profile.isolation)) return this.isolateMember(group);
    if (random.chance(profile.linkBlock))
      return { kind: "cut", from: this.drawLeader(group), to: this.drawVoter(group) };
    if (random.chance(profile.linkBlock / 2))
      return { kind: "cut", from: this.drawVoter(group), to: this.drawLeader(group) };
    if (random.chance(profile.leadershipTransfer))
      return { kind: "handOver", member: this.drawLeader(group) };
    return random.chance(profile.membership) ? this.membershipChange(group) : undefined;
  }

  private crash(group: MemberGroup): Step {
    const member = this.drawVoter(group);
    if (this.random.chance(0.5)) this.plannedSteps.push({ kind: "start", member });
    return { kind: "crash", member, keptWrites: this.random.below(3) };
  }

  private wipe(group: MemberGroup): Step {
    const member = this.drawVoter(group);
    if (this.random.chance(0.7)) this.plannedSteps.push({ kind: "start", member });
    return { kind: "wipe", member };
  }

  /** Unblocks the oldest blocked link, or all of them. */
  private healLinks(group: MemberGroup): Step {
    const steps = [...group.blockedLinks].map((link): Step => {
      const [from = "", to = ""] = link.split(">");
      return { kind: "mend", from, to };
    });
    const [first = { kind: "advance", ms: 5, paused: [] }, ...remaining] = steps;
    if (this.random.chance(0.5)) this.plannedSteps.push(...remaining);
    return first;
  }

  /** Isolates a member in one or both directions; half of the time, all links that were blocked before are opened first. */
  private isolateMember(group: MemberGroup): Step {
    const member = this.random.chance(0.5) ? this.drawLeader(group) : this.drawVoter(group);
    const direction = this.random.oneOf(["both", "out", "in"]);
    const previousLinks = this.random.chance(0.5) ? [...group.blockedLinks] : [];
    for (const link of previousLinks) {
      const [from = "", to = ""] = link.split(">");
      this.plannedSteps.push({ kind: "mend", from, to });
    }
    for (const other of group.settings.names) {
      if (other === member) continue;
      if (direction !== "in") this.plannedSteps.push({ kind: "cut", from: member, to: other });
      if (direction !== "out") this.plannedSteps.push({ kind: "cut", from: other, to: member });
    }
    return this.plannedSteps.shift() ?? { kind: "advance", ms: 5, paused: [] };
  }

  private membershipChange(group: MemberGroup): Step | undefined {
    const leader = this.drawLeader(group);
    const { voters, learners } = group.member(leader).state.members;
    const learner = this.random.oneOf(learners);
    const voter = this.random.oneOf(voters);
    if (learner !== undefined && this.random.chance(0.55))
      return { kind: "promote", member: leader, learner };
    return voter === undefined ? undefined : { kind: "demote", member: leader, voter };
  }

  private nextOperation(group: MemberGroup): Step | undefined {
    if (this.random.chance(0.05)) return { kind: "write", member: this.drawLeader(group) };
    if (this.random.chance(0.03)) return { kind: "read", member: this.drawLeader(group) };
    if (this.random.chance(0.005)) return { kind: "compact", member: this.drawMember(group) };
    return undefined;
  }

  private nextProgress(group: MemberGroup): Step {
    const { random, profile } = this;
    const writers = [...group.members.values()].filter(({ disk }) => disk.pending.length > 0);
    const writer = random.oneOf(writers);
    if (writer !== undefined && !random.chance(0.4 + profile.slowDisk / 2))
      return { kind: "sync", member: writer.name };
    const deliverable = [...group.messages.values()].filter(
      ({ from, to }) => !group.blockedLinks.has(`${from}>${to}`),
    );
    const { voters } = group.checks.latestMembers;
    const betweenVoters = deliverable.filter(
      ({ from, to }) => voters.includes(from) && voters.includes(to),
    );
    const eligible = betweenVoters.length > 0 && random.chance(0.7) ? betweenVoters : deliverable;
    const message = random.chance(profile.reordering) ? random.oneOf(eligible) : eligible[0];
    if (message !== undefined && random.chance(0.85)) {
      if (random.chance(profile.loss)) return { kind: "lose", message: message.id };
      return { kind: "deliver", message: message.id, twice: random.chance(profile.loss / 2) };
    }
    const paused = group.settings.names.filter(() => random.chance(profile.pause / 2));
    const timeStepsMs = [...group.members.values()].some(isLeader)
      ? profile.timeStepsMs
      : leaderlessTimeStepsMs;
    return { kind: "advance", ms: random.oneOf(timeStepsMs) ?? 20, paused };
  }
}
