/**
 * Which actions a member of the replicated log may take, by its state. No other module decides this. The table in
 * docs/control.md describes the same function.
 */

/** The state of a member's storage, from a process start until its disk holds the log. */
export type MemberStage =
  /** The disk has not been read yet. */
  | "loading"
  /** The disk is empty. */
  | "empty"
  /** The disk can't be read. */
  | "damaged"
  /** The disk holds the initial state of a new log, but the other voters have not all confirmed theirs yet. */
  | "forming"
  /** The disk holds the log. */
  | "formed";

/** The properties of a member that determine its rights. */
export interface MemberState {
  readonly stage: MemberStage;
  /** It lost its disk, and the marker of its rejoin has not been committed yet. */
  readonly isRejoining: boolean;
  /** It is a voter in the newest membership that it knows. */
  readonly isVoter: boolean;
  /** It was elected in the current term. */
  readonly isLeader: boolean;
  /** Its process is shutting down and may not start again. */
  readonly isRetired: boolean;
  /** Its disk accepts writes, and no write has been waiting for longer than the limit. */
  readonly isDiskHealthy: boolean;
  /** It leads, or had contact with a leader, voted or started within the shortest election timeout. */
  readonly isBoundToLeader: boolean;
  /** It has applied an entry of its own term, and a majority acknowledged heartbeats within the lease. */
  readonly hasLease: boolean;
}

/** The actions that a member may take. */
export interface MemberRights {
  /** Participate in forming a new log. */
  readonly form: boolean;
  /** Participate in elections and replication; otherwise all such requests are refused. */
  readonly participate: boolean;
  /** Vote for a candidate in a pre-vote. */
  readonly preVote: boolean;
  /** Vote for a candidate. */
  readonly vote: boolean;
  /** Vote for a candidate to which the leader itself transfers the leadership. */
  readonly voteOnLeadershipTransfer: boolean;
  /** Become a candidate. */
  readonly campaign: boolean;
  /** Be counted in a majority for its copy of an entry and for its acknowledgment of a heartbeat. */
  readonly countForCommit: boolean;
  /** Append entries as the leader. */
  readonly lead: boolean;
  /** Serve reads and commands for the whole system. */
  readonly serve: boolean;
  /** Forward commands and reads to the leader. */
  readonly forward: boolean;
}

/** The rights of a member in a state. */
export const memberRights = (member: MemberState): MemberRights => {
  const isFormed = member.stage === "formed";
  // A member that rejoins may lack votes and entries that it acknowledged before it lost its disk.
  const hasCompleteState = isFormed && !member.isRejoining;
  const vote = hasCompleteState && !member.isBoundToLeader;
  const canWrite = hasCompleteState && member.isDiskHealthy;
  return {
    form: member.stage === "empty",
    participate: isFormed,
    preVote: vote,
    vote,
    voteOnLeadershipTransfer: hasCompleteState,
    campaign: canWrite && member.isVoter && !member.isLeader && !member.isRetired,
    countForCommit: hasCompleteState && !member.isRetired,
    // A leader that has been removed from the voters continues to lead until its removal is committed.
    lead: canWrite && member.isLeader,
    serve: hasCompleteState && member.isLeader && member.hasLease,
    forward: true,
  };
};
