/**
 * What a member of the replicated log may do, given how whole it is. This is the only place that decides it; the
 * table in docs/control.md ("What a member may do while it is not whole") is this function in words.
 */

/** How far a member's own storage is part of a formed log. */
export type MemberStage =
  /** Its disk has not been read yet. */
  | "loading"
  /** Its disk holds nothing. */
  | "empty"
  /** Its disk can't be read. */
  | "damaged"
  /** It has written the new log's first state, but does not know yet that all voters have. */
  | "forming"
  /** Its disk holds the log. */
  | "formed";

/** All that a member's rights depend on. */
export interface MemberState {
  readonly stage: MemberStage;
  /** It lost its disk and its mark has not been committed since. */
  readonly isRejoining: boolean;
  /** The newest membership that it knows names it as a voter. */
  readonly isNamedVoter: boolean;
  /** It was elected in the current term. */
  readonly isLeader: boolean;
  /** Its process is about to end for good, as far as it knows. */
  readonly isRetired: boolean;
  /** It takes writes, and they don't wait too long. */
  readonly isDiskWell: boolean;
  /** It leads, or heard a leader, gave a vote or started within the shortest election wait. */
  readonly isBoundToLeader: boolean;
  /** It has applied an entry of its own term, and a majority's newest answers are younger than the lease. */
  readonly hasLease: boolean;
}

/** What a member may do now. */
export interface MemberRights {
  /** Take part in forming a new log. */
  readonly form: boolean;
  /** Read requests of the agreement at all; without it they are answered as if by nobody. */
  readonly takePart: boolean;
  /** Say that it would vote for a candidate. */
  readonly preVote: boolean;
  /** Vote for a candidate. */
  readonly vote: boolean;
  /** Vote for a candidate to whom the leader itself hands over. */
  readonly voteOnHandOver: boolean;
  /** Become a candidate. */
  readonly stand: boolean;
  /** Have its copy of an entry, and its answer to a heartbeat, counted in a majority. */
  readonly countForCommit: boolean;
  /** Append entries as the leader. */
  readonly lead: boolean;
  /** Answer reads, polls and orders for the whole system. */
  readonly answer: boolean;
  /** Pass orders and polls on to the leader. */
  readonly forward: boolean;
}

/** Tells what a member in this state may do. */
export const memberRights = (member: MemberState): MemberRights => {
  const takePart = member.stage === "formed";
  const knowsWhatItPromised = takePart && !member.isRejoining;
  const vote = knowsWhatItPromised && !member.isBoundToLeader;
  const isWell = knowsWhatItPromised && member.isDiskWell;
  return {
    form: member.stage === "empty",
    takePart,
    preVote: vote,
    vote,
    voteOnHandOver: knowsWhatItPromised,
    stand: isWell && member.isNamedVoter && !member.isLeader && !member.isRetired,
    countForCommit: knowsWhatItPromised && !member.isRetired,
    // One that is no voter any more leads on until its removal is committed.
    lead: isWell && member.isLeader,
    answer: knowsWhatItPromised && member.isLeader && member.hasLease,
    forward: true,
  };
};
