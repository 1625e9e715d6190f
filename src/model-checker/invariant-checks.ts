/** Checks the invariants of the consensus algorithm after each step. */
import { majoritiesOverlap } from "../consensus/membership-change.js";
import { type Members, parseMembersEntry } from "../consensus/members.js";
import type { ModelMember } from "./model-member.js";

/** A violation of an invariant of the consensus algorithm; the message describes the violating state. */
export class InvariantViolation extends Error {
  readonly invariant: string;

  constructor(invariant: string, description: string) {
    super(`${invariant}: ${description}`);
    this.invariant = invariant;
  }
}

interface CommittedEntry {
  readonly term: number;
  /** The term of the member that first applied the entry; leaders of later terms must have the entry. */
  readonly committedInTerm: number;
  readonly text: string;
}

/** The invariants that must hold after every step under any failure. They compare the states of all members. */
export class InvariantChecks {
  private readonly leaderByTerm = new Map<number, string>();
  private readonly committedEntries = new Map<number, CommittedEntry>();
  /** The members by the latest committed membership entry. */
  latestMembers: Members;
  private latestMembersIndex = 0;
  lastCommittedIndex = 0;
  /** The index of the latest entry that was acknowledged to a client. */
  acknowledgedIndex = 0;

  constructor(members: Members) {
    this.latestMembers = members;
  }

  clone(): InvariantChecks {
    const copy = new InvariantChecks(this.latestMembers);
    for (const [term, leader] of this.leaderByTerm) copy.leaderByTerm.set(term, leader);
    for (const [index, entry] of this.committedEntries) copy.committedEntries.set(index, entry);
    copy.latestMembersIndex = this.latestMembersIndex;
    copy.lastCommittedIndex = this.lastCommittedIndex;
    copy.acknowledgedIndex = this.acknowledgedIndex;
    return copy;
  }

  /** Checks that a new leader is the only one of its term and has all entries that were committed in earlier terms. */
  onElected({ name, state }: ModelMember): void {
    const otherLeader = this.leaderByTerm.get(state.term);
    if (otherLeader !== undefined && otherLeader !== name)
      throw new InvariantViolation(
        "one leader per term",
        `${otherLeader} and ${name} lead in term ${state.term}`,
      );
    this.leaderByTerm.set(state.term, name);
    for (const [index, entry] of this.committedEntries)
      if (
        entry.committedInTerm < state.term &&
        index > state.log.baseIndex &&
        state.log.termAt(index) !== entry.term
      )
        throw new InvariantViolation(
          "committed entries are kept",
          `${name} leads in term ${state.term} without the committed entry ${index}`,
        );
  }

  /** Checks that all members apply the same entry at an index, and tracks the committed members and acknowledged entries. */
  onApplied({ name, state }: ModelMember, index: number, term: number, text: string): void {
    const committedEntry = this.committedEntries.get(index);
    if (committedEntry === undefined) {
      this.committedEntries.set(index, { term, text, committedInTerm: state.term });
      this.lastCommittedIndex = Math.max(this.lastCommittedIndex, index);
      const members = parseMembersEntry(text);
      if (members !== undefined && index > this.latestMembersIndex) {
        if (!majoritiesOverlap(this.latestMembers, members))
          throw new InvariantViolation(
            "majorities overlap",
            `${text} at index ${index} has a majority that shares no voter with a majority of the previous voters`,
          );
        this.latestMembers = members;
        this.latestMembersIndex = index;
      }
    } else if (committedEntry.term !== term || committedEntry.text !== text)
      throw new InvariantViolation(
        "committed entries are kept",
        `at index ${index}, ${name} has ${text} of term ${term}, but ${committedEntry.text} of term ${committedEntry.term} was committed`,
      );
    if (state.role === "leader" && state.term === term)
      this.acknowledgedIndex = Math.max(this.acknowledgedIndex, index);
  }

  /** Checks which state each member would serve now, and by which voters each leader counts majorities. */
  checkMembers(members: Iterable<ModelMember>): void {
    for (const member of members) {
      if (member.canServeReads && member.appliedIndex < this.acknowledgedIndex)
        throw new InvariantViolation(
          "no stale reads",
          `${member.name} serves reads at index ${member.appliedIndex}, but index ${this.acknowledgedIndex} was acknowledged`,
        );
      if (member.isUp && member.state.role === "leader") this.checkLeaderMembership(member);
    }
  }

  /** Checks that every majority of the leader's voters overlaps every majority of the committed voters. */
  private checkLeaderMembership({ name, state }: ModelMember): void {
    if (state.membersIndex < this.latestMembersIndex) return;
    if (!majoritiesOverlap(this.latestMembers, state.members))
      throw new InvariantViolation(
        "majorities overlap",
        `${name} counts majorities of ${state.members.voters.join(",")}, but the committed voters are ${this.latestMembers.voters.join(",")}`,
      );
  }
}
