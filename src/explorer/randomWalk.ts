import type { Group } from "./group.js";
import { RandomSource } from "./random.js";
import type { Step } from "./step.js";

/** How often each kind of trouble comes, by the run: some are nearly calm, so that much is committed between failures. */
interface Climate {
  readonly loss: number;
  readonly crash: number;
  readonly wipe: number;
  readonly cut: number;
  readonly pause: number;
  readonly membership: number;
  readonly handOver: number;
  /** How often a message is delivered out of turn. */
  readonly disorder: number;
  readonly slowDisk: number;
}

const climateOf = (random: RandomSource): Climate => {
  const upTo = (most: number): number => (random.chance(0.35) ? 0 : most * random.next() ** 2);
  return {
    loss: upTo(0.15),
    crash: upTo(0.05),
    wipe: upTo(0.02),
    cut: upTo(0.06),
    pause: upTo(0.5),
    membership: upTo(0.05),
    handOver: upTo(0.02),
    disorder: upTo(1),
    slowDisk: upTo(0.8),
  };
};

/** Draws steps for a group, the same ones for the same seed. */
export class RandomWalk {
  private readonly random: RandomSource;
  private readonly climate: Climate;

  constructor(seed: number) {
    this.random = new RandomSource(seed);
    this.climate = climateOf(this.random);
  }

  next(group: Group): Step {
    return this.failure(group) ?? this.call(group) ?? this.progress(group);
  }

  private name(group: Group): string {
    return this.random.oneOf(group.settings.names) ?? "";
  }

  private leader(group: Group): string {
    const leaders = [...group.members.values()].filter(
      ({ isUp, state }) => isUp && state.role === "leader",
    );
    return this.random.oneOf(leaders)?.name ?? this.name(group);
  }

  private failure(group: Group): Step | undefined {
    const { random, climate } = this;
    const down = [...group.members.values()].find(({ isUp }) => !isUp);
    if (down !== undefined && random.chance(0.06)) return { kind: "start", member: down.name };
    if (random.chance(climate.crash)) {
      const member = this.name(group);
      return { kind: "crash", member, keptWrites: random.below(3) };
    }
    if (random.chance(climate.wipe)) return { kind: "wipe", member: this.name(group) };
    const [cut] = group.cuts;
    if (cut !== undefined && random.chance(0.05)) {
      const [from = "", to = ""] = cut.split(">");
      return { kind: "mend", from, to };
    }
    if (random.chance(climate.cut))
      return { kind: "cut", from: this.leader(group), to: this.name(group) };
    if (random.chance(climate.cut / 2))
      return { kind: "cut", from: this.name(group), to: this.leader(group) };
    if (random.chance(climate.handOver)) return { kind: "handOver", member: this.leader(group) };
    return random.chance(climate.membership) ? this.membershipChange(group) : undefined;
  }

  private membershipChange(group: Group): Step | undefined {
    const leader = this.leader(group);
    const { voters, learners } = group.member(leader).state.members;
    const learner = this.random.oneOf(learners);
    const voter = this.random.oneOf(voters);
    if (learner !== undefined && this.random.chance(0.6))
      return { kind: "promote", member: leader, learner };
    return voter === undefined ? undefined : { kind: "demote", member: leader, voter };
  }

  private call(group: Group): Step | undefined {
    if (this.random.chance(0.06)) return { kind: "write", member: this.leader(group) };
    if (this.random.chance(0.04)) return { kind: "read", member: this.leader(group) };
    if (this.random.chance(0.01)) return { kind: "compact", member: this.name(group) };
    return undefined;
  }

  private progress(group: Group): Step {
    const { random, climate } = this;
    const writing = [...group.members.values()].filter(({ disk }) => disk.pending.length > 0);
    const writer = random.oneOf(writing);
    if (writer !== undefined && !random.chance(0.5 + climate.slowDisk / 2))
      return { kind: "sync", member: writer.name };
    const open = [...group.messages.values()].filter(
      ({ from, to }) => !group.cuts.has(`${from}>${to}`),
    );
    const message = random.chance(climate.disorder) ? random.oneOf(open) : open[0];
    if (message !== undefined && random.chance(0.8)) {
      if (random.chance(climate.loss)) return { kind: "lose", message: message.id };
      return { kind: "deliver", message: message.id, twice: random.chance(climate.loss / 2) };
    }
    const paused = group.settings.names.filter(() => random.chance(climate.pause / 2));
    return { kind: "advance", ms: random.oneOf([5, 20, 60, 150]) ?? 20, paused };
  }
}
