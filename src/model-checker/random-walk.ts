import type { MemberGroup } from "./member-group.js";
import { PhaseWalk } from "./phase-walk.js";
import { RandomSource } from "./random-source.js";
import type { Step } from "./step.js";

/** How often each kind of trouble comes, by the run: some are nearly calm, so that much is committed between failures. */
interface FailureProfile {
  readonly loss: number;
  readonly crash: number;
  readonly wipe: number;
  readonly linkBlock: number;
  readonly isolation: number;
  readonly pause: number;
  readonly membership: number;
  readonly leadershipTransfer: number;
  /** How often a message is delivered out of turn. */
  readonly reordering: number;
  readonly slowDisk: number;
  /** How much time passes at once while somebody leads. */
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

/** All troubles at once, each more or less. */
const drawMixedProfile = (random: RandomSource): FailureProfile => {
  const upTo = (most: number): number => (random.chance(0.4) ? 0 : most * random.next() ** 2);
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

/** Some runs have all troubles, others few that work together, so that much is committed between failures. */
const drawProfile = (random: RandomSource): FailureProfile => {
  const some = (most: number): number => most * (0.2 + 0.8 * random.next());
  switch (random.below(6)) {
    case 0:
      return { ...noFailures, isolation: some(0.02), pause: some(0.2) };
    case 1:
      return { ...noFailures, isolation: some(0.015), crash: some(0.03), slowDisk: some(0.8) };
    case 2:
      return { ...noFailures, isolation: some(0.015), wipe: some(0.02) };
    case 3:
      return { ...noFailures, isolation: some(0.015), crash: some(0.01), membership: some(0.05) };
    default:
      return drawMixedProfile(random);
  }
};

/** How much time passes at once while nobody leads, so that elections come soon. */
const leaderlessTimeStepsMs = [20, 60, 150];

const isLeader = ({ isUp, state }: { isUp: boolean; state: { role: string } }): boolean =>
  isUp && state.role === "leader";

/** Draws steps for a group, the same ones for the same seed. */
export class RandomWalk {
  private readonly random: RandomSource;
  private readonly climate: FailureProfile;
  private readonly phases: PhaseWalk | undefined;
  /** Steps that belong together and come one after the other. */
  private planned: Step[] = [];

  constructor(seed: number) {
    this.random = new RandomSource(seed);
    this.climate = drawProfile(this.random);
    this.phases = this.random.chance(0.5) ? new PhaseWalk(this.random) : undefined;
  }

  next(group: MemberGroup): Step {
    if (this.phases !== undefined) return this.phases.next(group);
    const planned = this.planned.shift();
    return planned ?? this.failure(group) ?? this.call(group) ?? this.progress(group);
  }

  private name(group: MemberGroup): string {
    return this.random.oneOf(group.settings.names) ?? "";
  }

  private leader(group: MemberGroup): string {
    const leaders = [...group.members.values()].filter(isLeader);
    return this.random.oneOf(leaders)?.name ?? this.name(group);
  }

  /** A voter more often than another member, since voters decide. */
  private drawVoter(group: MemberGroup): string {
    const drawVoter = this.random.oneOf(group.checks.latestMembers.voters);
    return drawVoter === undefined || this.random.chance(0.2) ? this.name(group) : drawVoter;
  }

  private failure(group: MemberGroup): Step | undefined {
    const { random, climate } = this;
    const down = [...group.members.values()].find(({ isUp }) => !isUp);
    if (down !== undefined && random.chance(0.06)) return { kind: "start", member: down.name };
    if (random.chance(climate.crash)) return this.crash(group);
    if (random.chance(climate.wipe)) return this.wipe(group);
    if (group.blockedLinks.size > 0 && random.chance(0.03)) return this.mend(group);
    if (random.chance(climate.isolation)) return this.isolate(group);
    if (random.chance(climate.linkBlock))
      return { kind: "cut", from: this.leader(group), to: this.drawVoter(group) };
    if (random.chance(climate.linkBlock / 2))
      return { kind: "cut", from: this.drawVoter(group), to: this.leader(group) };
    if (random.chance(climate.leadershipTransfer))
      return { kind: "handOver", member: this.leader(group) };
    return random.chance(climate.membership) ? this.membershipChange(group) : undefined;
  }

  private crash(group: MemberGroup): Step {
    const member = this.drawVoter(group);
    if (this.random.chance(0.5)) this.planned.push({ kind: "start", member });
    return { kind: "crash", member, keptWrites: this.random.below(3) };
  }

  private wipe(group: MemberGroup): Step {
    const member = this.drawVoter(group);
    if (this.random.chance(0.7)) this.planned.push({ kind: "start", member });
    return { kind: "wipe", member };
  }

  /** One cut ends, or all of them. */
  private mend(group: MemberGroup): Step {
    const steps = [...group.blockedLinks].map((cut): Step => {
      const [from = "", to = ""] = cut.split(">");
      return { kind: "mend", from, to };
    });
    const [first = { kind: "advance", ms: 5, paused: [] }, ...others] = steps;
    if (this.random.chance(0.5)) this.planned.push(...others);
    return first;
  }

  /** A member is cut off, both ways or one way, often in place of the one that was. */
  private isolate(group: MemberGroup): Step {
    const member = this.random.chance(0.5) ? this.leader(group) : this.drawVoter(group);
    const ways = this.random.oneOf(["both", "out", "in"]);
    const former = this.random.chance(0.5) ? [...group.blockedLinks] : [];
    for (const cut of former) {
      const [from = "", to = ""] = cut.split(">");
      this.planned.push({ kind: "mend", from, to });
    }
    for (const other of group.settings.names) {
      if (other === member) continue;
      if (ways !== "in") this.planned.push({ kind: "cut", from: member, to: other });
      if (ways !== "out") this.planned.push({ kind: "cut", from: other, to: member });
    }
    return this.planned.shift() ?? { kind: "advance", ms: 5, paused: [] };
  }

  private membershipChange(group: MemberGroup): Step | undefined {
    const leader = this.leader(group);
    const { voters, learners } = group.member(leader).state.members;
    const learner = this.random.oneOf(learners);
    const drawVoter = this.random.oneOf(voters);
    if (learner !== undefined && this.random.chance(0.55))
      return { kind: "promote", member: leader, learner };
    return drawVoter === undefined
      ? undefined
      : { kind: "demote", member: leader, voter: drawVoter };
  }

  private call(group: MemberGroup): Step | undefined {
    if (this.random.chance(0.05)) return { kind: "write", member: this.leader(group) };
    if (this.random.chance(0.03)) return { kind: "read", member: this.leader(group) };
    if (this.random.chance(0.005)) return { kind: "compact", member: this.name(group) };
    return undefined;
  }

  private progress(group: MemberGroup): Step {
    const { random, climate } = this;
    const writing = [...group.members.values()].filter(({ disk }) => disk.pending.length > 0);
    const writer = random.oneOf(writing);
    if (writer !== undefined && !random.chance(0.4 + climate.slowDisk / 2))
      return { kind: "sync", member: writer.name };
    const open = [...group.messages.values()].filter(
      ({ from, to }) => !group.blockedLinks.has(`${from}>${to}`),
    );
    const { voters } = group.checks.latestMembers;
    const between = open.filter(({ from, to }) => voters.includes(from) && voters.includes(to));
    const eligible = between.length > 0 && random.chance(0.7) ? between : open;
    const message = random.chance(climate.reordering) ? random.oneOf(eligible) : eligible[0];
    if (message !== undefined && random.chance(0.85)) {
      if (random.chance(climate.loss)) return { kind: "lose", message: message.id };
      return { kind: "deliver", message: message.id, twice: random.chance(climate.loss / 2) };
    }
    const paused = group.settings.names.filter(() => random.chance(climate.pause / 2));
    const paces = [...group.members.values()].some(isLeader)
      ? climate.timeStepsMs
      : leaderlessTimeStepsMs;
    return { kind: "advance", ms: random.oneOf(paces) ?? 20, paused };
  }
}
