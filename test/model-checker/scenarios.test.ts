import { expect, test } from "vitest";
import { InvariantViolation } from "../../src/model-checker/invariant-checks.js";
import { MemberGroup } from "../../src/model-checker/member-group.js";
import type { ModelMember } from "../../src/model-checker/model-member.js";
import { createGroupSettings } from "../../src/model-checker/group-settings.js";
import type { SafetyRules } from "../../src/consensus/safety-rules.js";

const maxRounds = 400;

/** A group led through a history that is rare at random, and which promise it breaks, if any. */
class ScenarioGroup {
  readonly group: MemberGroup;

  constructor(voters: number, spares: number, rules: Partial<SafetyRules>) {
    const settings = createGroupSettings(voters, spares, 1, { rules });
    this.group = new MemberGroup({
      ...settings,
      clockRates: settings.names.map(() => 1),
      maxBatchEntries: 1,
    });
  }

  get members(): ModelMember[] {
    return [...this.group.members.values()];
  }

  currentLeader(among = this.members): ModelMember {
    const currentLeader = among.find(({ isUp, state }) => isUp && state.role === "leader");
    if (currentLeader === undefined) throw new Error("Nobody leads.");
    return currentLeader;
  }

  /** Some members reach one another, and only they, until something holds; time goes on where nothing else happens. */
  runUntil(members: readonly ModelMember[], holds: () => boolean, syncs = members): boolean {
    const names = members.map(({ name }) => name);
    for (let round = 0; round < maxRounds; round += 1) {
      if (holds()) return true;
      const writer = syncs.find(({ disk }) => disk.pending.length > 0);
      const message = [...this.group.messages.values()].find(
        ({ from, to }) => names.includes(from) && names.includes(to),
      );
      if (writer !== undefined) this.group.execute({ kind: "sync", member: writer.name });
      else if (message !== undefined)
        this.group.execute({ kind: "deliver", message: message.id, twice: false });
      else this.group.execute({ kind: "advance", ms: 10, paused: [] });
    }
    return false;
  }

  /** All meet until one leads and may answer. */
  electLeader(members = this.members): { currentLeader: ModelMember; followers: ModelMember[] } {
    this.runUntil(members, () => members.some(({ canServeReads: answers }) => answers));
    const currentLeader = this.currentLeader();
    this.runUntil(members, () => members.every(({ appliedIndex }) => appliedIndex > 0));
    return {
      leader: currentLeader,
      followers: members.filter((member) => member !== currentLeader),
    };
  }

  restart({ name }: ModelMember, kind: "crash" | "wipe"): void {
    if (kind === "wipe") this.group.execute({ kind, member: name });
    else this.group.execute({ kind, member: name, keptWrites: 0 });
    this.group.execute({ kind: "start", member: name });
  }
}

const memberAt = (members: readonly ModelMember[], at: number): ModelMember => {
  const member = members[at];
  if (member === undefined) throw new Error("There are too few members.");
  return member;
};

const isLeader = ({ state }: ModelMember): boolean => state.role === "leader";

/** The older term's entry reaches a majority and its leader stops; one with a newer, lonely entry leads next. */
const commitOlderTermByCounting = (director: ScenarioGroup): void => {
  const { currentLeader: leader, followers: others } = director.electLeader();
  director.group.execute({ kind: "write", member: leader.name });
  const index = leader.state.log.lastIndex;
  director.runUntil([leader], () => leader.disk.pending.length === 0);
  if (!director.runUntil(others, () => others.some(isLeader))) return;
  const rival = director.currentLeader(others);
  const third = memberAt(
    others.filter((member) => member !== rival),
    0,
  );
  director.runUntil([rival], () => rival.disk.pending.length === 0);
  director.runUntil(
    [leader, third],
    () =>
      isLeader(leader) &&
      leader.state.term > rival.state.term &&
      leader.state.matchIndexes.get(third.name) === index,
  );
  director.group.execute({ kind: "crash", member: leader.name, keptWrites: 9 });
  director.runUntil(others, () => isLeader(rival) && rival.state.term > leader.state.term);
};

/** A voter hears the leader, restarts, and is asked for its vote at once. */
const voteRightAfterRestart = (director: ScenarioGroup): void => {
  const { currentLeader: leader, followers: others } = director.electLeader();
  const [voter, rival] = [memberAt(others, 0), memberAt(others, 1)];
  director.runUntil([leader, voter], () => rival.state.role === "preCandidate");
  director.restart(voter, "crash");
  director.runUntil([voter, rival], () => isLeader(rival) && rival.canServeReads);
};

/** A vote elects a leader, is lost with its voter's memory, and is given again in the same term. */
const voteTwiceAfterRestart = (director: ScenarioGroup): void => {
  const { members } = director;
  const [first, voter, second] = [memberAt(members, 0), memberAt(members, 1), memberAt(members, 2)];
  director.runUntil([first, voter], () => isLeader(first), [first]);
  director.restart(voter, "crash");
  director.runUntil([voter, second], () => isLeader(second) || isLeader(voter));
};

/** One leader adds a voter, the next takes one off, each without an entry of its term. */
const changeMembersInTwoTerms = (director: ScenarioGroup): void => {
  const spare = memberAt(director.members, 4);
  const { currentLeader: leader, followers: others } = director.electLeader(
    director.members.slice(0, 4),
  );
  director.group.execute({ kind: "promote", member: leader.name, learner: spare.name });
  const { lastIndex } = leader.state.log;
  director.runUntil(
    [leader, spare],
    () => spare.state.log.lastIndex === lastIndex && spare.disk.pending.length === 0,
  );
  if (!director.runUntil(others, () => others.some(isLeader))) return;
  const next = director.currentLeader(others);
  director.group.execute({ kind: "demote", member: next.name, voter: leader.name });
  const [friend, third] = others.filter((member) => member !== next);
  if (friend === undefined || third === undefined) return;
  director.runUntil([next, friend], () => next.state.committedIndex === next.state.log.lastIndex);
  director.runUntil(
    [leader, third, spare],
    () => isLeader(leader) && leader.state.term > next.state.term,
  );
};

/** A leader that the others have left meets an emptied voter of theirs. */
const rejoinToDeposedLeader = (director: ScenarioGroup): void => {
  const { currentLeader: leader, followers: others } = director.electLeader();
  director.runUntil(others, () => others.some((member) => member.canServeReads));
  const follower = memberAt(
    others.filter((member) => !isLeader(member)),
    0,
  );
  director.restart(follower, "wipe");
  director.runUntil([leader, follower], () => leader.canServeReads);
};

/** The same, where the old leader's log has the mark of a rejoining before. */
const rejoinTwice = (director: ScenarioGroup): void => {
  const { currentLeader: leader, followers: others } = director.electLeader();
  const follower = memberAt(others, 0);
  director.restart(follower, "wipe");
  director.runUntil(
    director.members,
    () =>
      follower.hasCompleteDisk &&
      follower.appliedIndex === leader.appliedIndex &&
      leader.canServeReads,
  );
  director.runUntil(others, () => others.some((member) => member.canServeReads));
  director.restart(follower, "wipe");
  director.runUntil([leader, follower], () => leader.canServeReads);
};

const scenarios: ReadonlyArray<
  readonly [
    rule: keyof SafetyRules,
    promise: string,
    play: (director: ScenarioGroup) => void,
    voters: number,
    spares: number,
  ]
> = [
  ["commitOnlyOwnTerm", "what is committed stays", commitOlderTermByCounting, 3, 0],
  [
    "waitBeforeVotingAfterRestart",
    "no read older than an acknowledged change",
    voteRightAfterRestart,
    3,
    0,
  ],
  ["syncVoteBeforeReply", "one leader a term", voteTwiceAfterRestart, 3, 0],
  ["changeMembersOnlyInCommittedTerm", "what is committed stays", changeMembersInTwoTerms, 4, 1],
  [
    "countOnlyWhenRejoined",
    "no read older than an acknowledged change",
    rejoinToDeposedLeader,
    3,
    0,
  ],
  ["rejoinOnlyByOwnNonce", "no read older than an acknowledged change", rejoinTwice, 3, 0],
];

const violatedInvariant = (play: () => void): string => {
  try {
    play();
    return "kept";
  } catch (error) {
    if (error instanceof InvariantViolation) return error.invariant;
    throw error;
  }
};

test.each(scenarios)("without %s: %s is broken", (rule, promise, play, voters, spares) => {
  expect(violatedInvariant(() => play(new ScenarioGroup(voters, spares, { [rule]: false })))).toBe(
    promise,
  );
  expect(violatedInvariant(() => play(new ScenarioGroup(voters, spares, {})))).toBe("kept");
});
