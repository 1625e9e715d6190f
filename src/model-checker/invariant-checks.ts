import { majoritiesOverlap } from "../consensus/membership-change.js";
import { type Members, parseMembersEntry } from "../consensus/members.js";
import type { ModelMember } from "./model-member.js";

/** A promise of the agreement that was broken, and by what. */
export class InvariantViolation extends Error {
  readonly invariant: string;

  constructor(invariant: string, how: string) {
    super(`${invariant}: ${how}`);
    this.invariant = invariant;
  }
}

interface CommittedEntry {
  readonly term: number;
  /** The term of the member that applied it first; leaders of later terms hold it. */
  readonly committedInTerm: number;
  readonly text: string;
}

/** What must hold at every step, whoever fails. It sees all members at once, as no member can. */
export class InvariantChecks {
  private readonly leaders = new Map<number, string>();
  private readonly committed = new Map<number, CommittedEntry>();
  /** The newest committed members, and where they stand. */
  latestMembers: Members;
  private latestMembersIndex = 0;
  lastCommittedIndex = 0;
  /** The newest entry that a client was told is in force. */
  acknowledgedIndex = 0;

  constructor(members: Members) {
    this.latestMembers = members;
  }

  clone(): InvariantChecks {
    const copy = new InvariantChecks(this.latestMembers);
    for (const [term, leader] of this.leaders) copy.leaders.set(term, leader);
    for (const [index, entry] of this.committed) copy.committed.set(index, entry);
    copy.latestMembersIndex = this.latestMembersIndex;
    copy.lastCommittedIndex = this.lastCommittedIndex;
    copy.acknowledgedIndex = this.acknowledgedIndex;
    return copy;
  }

  /** A member was elected: it is the only one in its term, and holds all that was committed in earlier ones. */
  onElected({ name, state }: ModelMember): void {
    const other = this.leaders.get(state.term);
    if (other !== undefined && other !== name)
      throw new InvariantViolation(
        "one leader a term",
        `${other} and ${name} lead in term ${state.term}`,
      );
    this.leaders.set(state.term, name);
    for (const [index, entry] of this.committed)
      if (
        entry.committedInTerm < state.term &&
        index > state.log.baseIndex &&
        state.log.termAt(index) !== entry.term
      )
        throw new InvariantViolation(
          "what is committed stays",
          `${name} leads in term ${state.term} without the committed entry ${index}`,
        );
  }

  /** A member applied an entry: every member applies the same one at an index. */
  onApplied({ name, state }: ModelMember, index: number, term: number, text: string): void {
    const known = this.committed.get(index);
    if (known === undefined) {
      this.committed.set(index, { term, text, committedInTerm: state.term });
      this.lastCommittedIndex = Math.max(this.lastCommittedIndex, index);
      const members = parseMembersEntry(text);
      if (members !== undefined && index > this.latestMembersIndex) {
        if (!majoritiesOverlap(this.latestMembers, members))
          throw new InvariantViolation(
            "majorities meet",
            `${text} follows on other members at ${index}`,
          );
        this.latestMembers = members;
        this.latestMembersIndex = index;
      }
    } else if (known.term !== term || known.text !== text)
      throw new InvariantViolation(
        "what is committed stays",
        `at ${index}, ${name} has ${text} of term ${term} where ${known.text} of term ${known.term} was committed`,
      );
    if (state.role === "leader" && state.term === term)
      this.acknowledgedIndex = Math.max(this.acknowledgedIndex, index);
  }

  /** What each member would answer now, and by which members each leader counts. */
  checkMembers(members: Iterable<ModelMember>): void {
    for (const member of members) {
      if (member.canServeReads && member.appliedIndex < this.acknowledgedIndex)
        throw new InvariantViolation(
          "no read older than an acknowledged change",
          `${member.name} answers by entry ${member.appliedIndex}, ${this.acknowledgedIndex} was acknowledged`,
        );
      if (member.isUp && member.state.role === "leader") this.lookAtMembers(member);
    }
  }

  /** A leader counts by the committed members, or by ones whose majorities meet theirs. */
  private lookAtMembers({ name, state }: ModelMember): void {
    if (state.membersIndex < this.latestMembersIndex) return;
    if (!majoritiesOverlap(this.latestMembers, state.members))
      throw new InvariantViolation(
        "majorities meet",
        `${name} counts by ${state.members.voters.join(",")}, committed are ${this.latestMembers.voters.join(",")}`,
      );
  }
}
