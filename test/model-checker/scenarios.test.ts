import { expect, test } from "vitest";
import { InvariantViolation } from "../../src/model-checker/invariant-checks.js";
import { MemberGroup } from "../../src/model-checker/member-group.js";
import type { ModelMember } from "../../src/model-checker/model-member.js";
import { createGroupSettings } from "../../src/model-checker/group-settings.js";
import type { SafetyRules } from "../../src/consensus/safety-rules.js";

const maxRounds = 400;

/** A group that a test drives through a sequence of steps which a random search rarely produces. */
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
    const leader = among.find(({ isUp, state }) => isUp && state.role === "leader");
    if (leader === undefined) throw new Error("no member leads");
    return leader;
  }

  /**
   * Delivers messages only between the given members and completes the writes of `syncing`, until a condition holds; time
   * advances when neither is possible. Returns whether the condition held within `maxRounds`.
   */
  runUntil(members: readonly ModelMember[], isReached: () => boolean, syncing = members): boolean {
    const names = members.map(({ name }) => name);
    for (let round = 0; round < maxRounds; round += 1) {
      if (isReached()) return true;
      const writer = syncing.find(({ disk }) => disk.pending.length > 0);
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

  /** Runs the members until one leads and may serve reads, and all have applied an entry. */
  electLeader(members = this.members): { leader: ModelMember; followers: ModelMember[] } {
    this.runUntil(members, () => members.some(({ canServeReads }) => canServeReads));
    const leader = this.currentLeader();
    this.runUntil(members, () => members.every(({ appliedIndex }) => appliedIndex > 0));
    return { leader, followers: members.filter((member) => member !== leader) };
  }

  restart({ name }: ModelMember, kind: "crash" | "wipe"): void {
    if (kind === "wipe") this.group.execute({ kind, member: name });
    else this.group.execute({ kind, member: name, keptWrites: 0 });
    this.group.execute({ kind: "start", member: name });
  }
}

const memberAt = (members: readonly ModelMember[], index: number): ModelMember => {
  const member = members[index];
  if (member === undefined) throw new Error(`the group has no member at index ${index}`);
  return member;
};

const isLeader = ({ state }: ModelMember): boolean => state.role === "leader";

/**
 * An older term's entry reaches a majority, and its leader crashes. A member with an unreplicated entry of a newer term is
 * elected next and overwrites the entry. Guards against counting copies of an older term's entry for its commit.
 */
const commitOlderTermByCounting = (scenario: ScenarioGroup): void => {
  const { leader, followers } = scenario.electLeader();
  scenario.group.execute({ kind: "write", member: leader.name });
  const index = leader.state.log.lastIndex;
  scenario.runUntil([leader], () => leader.disk.pending.length === 0);
  if (!scenario.runUntil(followers, () => followers.some(isLeader))) return;
  const rival = scenario.currentLeader(followers);
  const third = memberAt(
    followers.filter((member) => member !== rival),
    0,
  );
  scenario.runUntil([rival], () => rival.disk.pending.length === 0);
  scenario.runUntil(
    [leader, third],
    () =>
      isLeader(leader) &&
      leader.state.term > rival.state.term &&
      leader.state.matchIndexes.get(third.name) === index,
  );
  scenario.group.execute({ kind: "crash", member: leader.name, keptWrites: 9 });
  scenario.runUntil(followers, () => isLeader(rival) && rival.state.term > leader.state.term);
};

/**
 * A voter has contact with the leader, restarts, and receives a vote request at once. Guards against a second leader during the
 * first leader's lease, whose reads would then be stale.
 */
const voteRightAfterRestart = (scenario: ScenarioGroup): void => {
  const { leader, followers } = scenario.electLeader();
  const [voter, rival] = [memberAt(followers, 0), memberAt(followers, 1)];
  scenario.runUntil([leader, voter], () => rival.state.role === "preCandidate");
  scenario.restart(voter, "crash");
  scenario.runUntil([voter, rival], () => isLeader(rival) && rival.canServeReads);
};

/**
 * A vote that isn't on disk elects a leader. The voter restarts without it and votes again in the same term. Guards against two
 * leaders in one term.
 */
const voteTwiceAfterRestart = (scenario: ScenarioGroup): void => {
  const { members } = scenario;
  const [first, voter, second] = [memberAt(members, 0), memberAt(members, 1), memberAt(members, 2)];
  scenario.runUntil([first, voter], () => isLeader(first), [first]);
  scenario.restart(voter, "crash");
  scenario.runUntil([voter, second], () => isLeader(second) || isLeader(voter));
};

/**
 * One leader adds a voter, the next removes one, each without a committed entry of its term. Guards against majorities of two
 * memberships that don't overlap.
 */
const changeMembersInTwoTerms = (scenario: ScenarioGroup): void => {
  const spare = memberAt(scenario.members, 4);
  const { leader, followers } = scenario.electLeader(scenario.members.slice(0, 4));
  scenario.group.execute({ kind: "promote", member: leader.name, learner: spare.name });
  const { lastIndex } = leader.state.log;
  scenario.runUntil(
    [leader, spare],
    () => spare.state.log.lastIndex === lastIndex && spare.disk.pending.length === 0,
  );
  if (!scenario.runUntil(followers, () => followers.some(isLeader))) return;
  const next = scenario.currentLeader(followers);
  scenario.group.execute({ kind: "demote", member: next.name, voter: leader.name });
  const [ally, third] = followers.filter((member) => member !== next);
  if (ally === undefined || third === undefined) return;
  scenario.runUntil([next, ally], () => next.state.committedIndex === next.state.log.lastIndex);
  scenario.runUntil(
    [leader, third, spare],
    () => isLeader(leader) && leader.state.term > next.state.term,
  );
};

/**
 * A leader that a newer leader has superseded reaches a voter of the new majority whose disk was wiped. Guards against a lease
 * that counts a rejoining voter, which has lost what it acknowledged to the newer leader.
 */
const rejoinToDeposedLeader = (scenario: ScenarioGroup): void => {
  const { leader, followers } = scenario.electLeader();
  scenario.runUntil(followers, () => followers.some((member) => member.canServeReads));
  const follower = memberAt(
    followers.filter((member) => !isLeader(member)),
    0,
  );
  scenario.restart(follower, "wipe");
  scenario.runUntil([leader, follower], () => leader.canServeReads);
};

/**
 * As in `rejoinToDeposedLeader`, but the old leader's log holds the marker of the voter's earlier rejoin. Guards against a marker
 * that completes a later rejoin.
 */
const rejoinTwice = (scenario: ScenarioGroup): void => {
  const { leader, followers } = scenario.electLeader();
  const follower = memberAt(followers, 0);
  scenario.restart(follower, "wipe");
  scenario.runUntil(
    scenario.members,
    () =>
      follower.hasCompleteDisk &&
      follower.appliedIndex === leader.appliedIndex &&
      leader.canServeReads,
  );
  scenario.runUntil(followers, () => followers.some((member) => member.canServeReads));
  scenario.restart(follower, "wipe");
  scenario.runUntil([leader, follower], () => leader.canServeReads);
};

const scenarios: ReadonlyArray<
  readonly [
    rule: keyof SafetyRules,
    invariant: string,
    run: (scenario: ScenarioGroup) => void,
    voters: number,
    spares: number,
  ]
> = [
  ["commitOnlyOwnTerm", "committed entries are kept", commitOlderTermByCounting, 3, 0],
  ["waitBeforeVotingAfterRestart", "no stale reads", voteRightAfterRestart, 3, 0],
  ["syncVoteBeforeReply", "one leader per term", voteTwiceAfterRestart, 3, 0],
  ["changeMembersOnlyInCommittedTerm", "committed entries are kept", changeMembersInTwoTerms, 4, 1],
  ["countOnlyWhenRejoined", "no stale reads", rejoinToDeposedLeader, 3, 0],
  ["rejoinOnlyByOwnNonce", "no stale reads", rejoinTwice, 3, 0],
];

const violatedInvariant = (run: () => void): string => {
  try {
    run();
    return "none";
  } catch (error) {
    if (error instanceof InvariantViolation) return error.invariant;
    throw error;
  }
};

test.each(scenarios)(
  "without the rule %s, the invariant '%s' is violated",
  (rule, invariant, run, voters, spares) => {
    const runWith = (rules: Partial<SafetyRules>): string =>
      violatedInvariant(() => run(new ScenarioGroup(voters, spares, rules)));
    expect(runWith({ [rule]: false })).toBe(invariant);
    expect(runWith({})).toBe("none");
  },
);
