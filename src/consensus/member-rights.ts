/**
 * What a member of the replicated log may do in its state. This is the only place that decides it; the table in
 * docs/control.md is this function in words.
 */

/** How far a member's own storage is part of a formed log. */
export type MemberStage =
  /** Its disk has not been read yet. */
  | "loading"
  /** Its disk is empty. */
  | "empty"
  /** Its disk can't be read. */
  | "damaged"
  /** It has written the new log's first state, but does not know yet that all voters have. */
  | "forming"
  /** Its disk has the log. */
  | "formed";

/** All that a member's rights depend on. */
export interface MemberState {
  readonly stage: MemberStage;
  /** It lost its disk and its marker has not been committed since. */
  readonly isRejoining: boolean;
  /** The newest membership that it knows names it as a voter. */
  readonly isVoter: boolean;
  /** It was elected in the current term. */
  readonly isLeader: boolean;
  /** Its process is about to end for good, as far as it knows. */
  readonly isRetired: boolean;
  /** Its disk accepts writes, and they don't wait too long. */
  readonly isDiskHealthy: boolean;
  /** It leads, or had contact with a leader, voted or started within the shortest election timeout. */
  readonly isBoundToLeader: boolean;
  /** It has applied an entry of its own term, and a majority acknowledged heartbeats within the lease. */
  readonly hasLease: boolean;
}

/** What a member may do now. */
export interface MemberRights {
  /** Take part in forming a new log. */
  readonly form: boolean;
  /** Take part in elections and replication at all; without it requests are refused. */
  readonly participate: boolean;
  /** Vote for a candidate in a pre-vote. */
  readonly preVote: boolean;
  /** Vote for a candidate. */
  readonly vote: boolean;
  /** Vote for a candidate to which the leader itself transfers the leadership. */
  readonly voteOnLeadershipTransfer: boolean;
  /** Become a candidate. */
  readonly campaign: boolean;
  /** Have its copy of an entry, and its acknowledgment of a heartbeat, counted in a majority. */
  readonly countForCommit: boolean;
  /** Append entries as the leader. */
  readonly lead: boolean;
  /** Serve reads and commands for the whole system. */
  readonly serve: boolean;
  /** Forward commands and reads to the leader. */
  readonly forward: boolean;
}

/** What a member in this state may do. */
export const memberRights = (member: MemberState): MemberRights => {
  const takePart = member.stage === "formed";
  // While rejoining it may lack votes and entries that it acknowledged before its disk was lost.
  const hasCompleteState = takePart && !member.isRejoining;
  const vote = hasCompleteState && !member.isBoundToLeader;
  const canWrite = hasCompleteState && member.isDiskHealthy;
  return {
    form: member.stage === "empty",
    participate: takePart,
    preVote: vote,
    vote,
    voteOnLeadershipTransfer: hasCompleteState,
    campaign: canWrite && member.isVoter && !member.isLeader && !member.isRetired,
    countForCommit: hasCompleteState && !member.isRetired,
    // A leader that is no longer a voter leads on until its removal is committed.
    lead: canWrite && member.isLeader,
    serve: hasCompleteState && member.isLeader && member.hasLease,
    forward: true,
  };
};
