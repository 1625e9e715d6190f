import { expect, test } from "vitest";
import { InvariantViolation } from "../../src/model-checker/invariant-checks.js";
import { MemberGroup } from "../../src/model-checker/member-group.js";
import type { ModelMember } from "../../src/model-checker/model-member.js";
import { createGroupSettings } from "../../src/model-checker/group-settings.js";
import type { SafetyRules } from "../../src/consensus/safety-rules.js";

const mostRounds = 400;

/** A group led through a history that is rare at random, and which promise it breaks, if any. */
class Director {
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

  leader(among = this.members): ModelMember {
    const leader = among.find(({ isUp, state }) => isUp && state.role === "leader");
    if (leader === undefined) throw new Error("Nobody leads.");
    return leader;
  }

  /** Some members reach one another, and only they, until something holds; time goes on where nothing else happens. */
  together(members: readonly ModelMember[], holds: () => boolean, syncs = members): boolean {
    const names = members.map(({ name }) => name);
    for (let round = 0; round < mostRounds; round += 1) {
      if (holds()) return true;
      const writer = syncs.find(({ disk }) => disk.pending.length > 0);
      const message = [...this.group.messages.values()].find(
        ({ from, to }) => names.includes(from) && names.includes(to),
      );
      if (writer !== undefined) this.group.take({ kind: "sync", member: writer.name });
      else if (message !== undefined)
        this.group.take({ kind: "deliver", message: message.id, twice: false });
      else this.group.take({ kind: "advance", ms: 10, paused: [] });
    }
    return false;
  }

  /** All meet until one leads and may answer. */
  begin(members = this.members): { leader: ModelMember; others: ModelMember[] } {
    this.together(members, () => members.some(({ answers }) => answers));
    const leader = this.leader();
    this.together(members, () => members.every(({ appliedIndex }) => appliedIndex > 0));
    return { leader, others: members.filter((member) => member !== leader) };
  }

  restart({ name }: ModelMember, kind: "crash" | "wipe"): void {
    if (kind === "wipe") this.group.take({ kind, member: name });
    else this.group.take({ kind, member: name, keptWrites: 0 });
    this.group.take({ kind: "start", member: name });
  }
}

const pick = (members: readonly ModelMember[], at: number): ModelMember => {
  const member = members[at];
  if (member === undefined) throw new Error("There are too few members.");
  return member;
};

const isLeader = ({ state }: ModelMember): boolean => state.role === "leader";

/** The older term's entry reaches a majority and its leader stops; one with a newer, lonely entry leads next. */
const olderTermCounted = (director: Director): void => {
  const { leader, others } = director.begin();
  director.group.take({ kind: "write", member: leader.name });
  const index = leader.state.log.lastIndex;
  director.together([leader], () => leader.disk.pending.length === 0);
  if (!director.together(others, () => others.some(isLeader))) return;
  const rival = director.leader(others);
  const third = pick(
    others.filter((member) => member !== rival),
    0,
  );
  director.together([rival], () => rival.disk.pending.length === 0);
  director.together(
    [leader, third],
    () =>
      isLeader(leader) &&
      leader.state.term > rival.state.term &&
      leader.state.matched.get(third.name) === index,
  );
  director.group.take({ kind: "crash", member: leader.name, keptWrites: 9 });
  director.together(others, () => isLeader(rival) && rival.state.term > leader.state.term);
};

/** A voter hears the leader, restarts, and is asked for its vote at once. */
const restartedVoter = (director: Director): void => {
  const { leader, others } = director.begin();
  const [voter, rival] = [pick(others, 0), pick(others, 1)];
  director.together([leader, voter], () => rival.state.role === "preCandidate");
  director.restart(voter, "crash");
  director.together([voter, rival], () => isLeader(rival) && rival.answers);
};

/** A vote elects a leader, is lost with its voter's memory, and is given again in the same term. */
const forgottenVote = (director: Director): void => {
  const { members } = director;
  const [first, voter, second] = [pick(members, 0), pick(members, 1), pick(members, 2)];
  director.together([first, voter], () => isLeader(first), [first]);
  director.restart(voter, "crash");
  director.together([voter, second], () => isLeader(second) || isLeader(voter));
};

/** One leader adds a voter, the next takes one off, each without an entry of its term. */
const changesOfTwoTerms = (director: Director): void => {
  const spare = pick(director.members, 4);
  const { leader, others } = director.begin(director.members.slice(0, 4));
  director.group.take({ kind: "promote", member: leader.name, learner: spare.name });
  const { lastIndex } = leader.state.log;
  director.together(
    [leader, spare],
    () => spare.state.log.lastIndex === lastIndex && spare.disk.pending.length === 0,
  );
  if (!director.together(others, () => others.some(isLeader))) return;
  const next = director.leader(others);
  director.group.take({ kind: "demote", member: next.name, voter: leader.name });
  const [friend, third] = others.filter((member) => member !== next);
  if (friend === undefined || third === undefined) return;
  director.together([next, friend], () => next.state.committedIndex === next.state.log.lastIndex);
  director.together(
    [leader, third, spare],
    () => isLeader(leader) && leader.state.term > next.state.term,
  );
};

/** A leader that the others have left meets an emptied voter of theirs. */
const emptiedVoterJoinsOldLeader = (director: Director): void => {
  const { leader, others } = director.begin();
  director.together(others, () => others.some((member) => member.answers));
  const follower = pick(
    others.filter((member) => !isLeader(member)),
    0,
  );
  director.restart(follower, "wipe");
  director.together([leader, follower], () => leader.answers);
};

/** The same, where the old leader's log has the mark of a rejoining before. */
const emptiedTwice = (director: Director): void => {
  const { leader, others } = director.begin();
  const follower = pick(others, 0);
  director.restart(follower, "wipe");
  director.together(
    director.members,
    () => follower.isWhole && follower.appliedIndex === leader.appliedIndex && leader.answers,
  );
  director.together(others, () => others.some((member) => member.answers));
  director.restart(follower, "wipe");
  director.together([leader, follower], () => leader.answers);
};

const scenarios: ReadonlyArray<
  readonly [
    rule: keyof SafetyRules,
    promise: string,
    play: (director: Director) => void,
    voters: number,
    spares: number,
  ]
> = [
  ["commitOnlyOwnTerm", "committed entries are kept", olderTermCounted, 3, 0],
  ["waitBeforeVotingAfterRestart", "no stale reads", restartedVoter, 3, 0],
  ["syncVoteBeforeReply", "one leader per term", forgottenVote, 3, 0],
  ["changeMembersOnlyInCommittedTerm", "committed entries are kept", changesOfTwoTerms, 4, 1],
  ["countOnlyWhenRejoined", "no stale reads", emptiedVoterJoinsOldLeader, 3, 0],
  ["rejoinOnlyByOwnNonce", "no stale reads", emptiedTwice, 3, 0],
];

const outcome = (play: () => void): string => {
  try {
    play();
    return "kept";
  } catch (error) {
    if (error instanceof InvariantViolation) return error.invariant;
    throw error;
  }
};

test.each(scenarios)("without %s: %s is broken", (rule, promise, play, voters, spares) => {
  expect(outcome(() => play(new Director(voters, spares, { [rule]: false })))).toBe(promise);
  expect(outcome(() => play(new Director(voters, spares, {})))).toBe("kept");
});
