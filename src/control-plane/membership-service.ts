/** The commands with which members of the replicated log rejoin, join and stop. */
import { completed, failed, type CommandResult } from "../control-protocol/command-response.js";
import type { Task } from "../runtime/task.js";
import { NO_LEASE, type LeaderLog, type LeaderReplica } from "./leader-log.js";

/** Changes the members of the replicated log at their request. */
export class MembershipService {
  private readonly log: LeaderLog;
  private readonly replica: LeaderReplica;

  constructor(log: LeaderLog, replica: LeaderReplica) {
    this.log = log;
    this.replica = replica;
  }

  /** Adds a member that lost its disk as a learner, and records its nonce. */
  *rejoin(machine: string, nonce: string): Task<CommandResult> {
    if (!this.log.holdsLease) return NO_LEASE;
    if (!(yield* this.replica.addLearner(machine))) return failed("busy");
    const recorded = yield* this.log.propose({ kind: "rejoined", machine, nonce });
    return recorded.kind === "failed" ? recorded : completed({ taken: true });
  }

  /** Adds a member that has this cluster's log and was removed while it was unreachable. */
  *join(machine: string, cluster: string): Task<CommandResult> {
    if (!this.log.holdsLease) return NO_LEASE;
    if (cluster !== this.replica.bootstrapStatus.fleet) return completed({ foreign: true });
    const taken = yield* this.replica.addLearner(machine);
    return taken ? completed({ taken }) : failed("busy");
  }

  /** Advances the removal of a member that is about to stop; `lastIndex` is the last index of its log. */
  *stop(machine: string, lastIndex: number): Task<CommandResult> {
    if (!this.log.holdsLease) return NO_LEASE;
    const status = yield* this.replica.onMemberStopping(machine, lastIndex);
    return status ? completed(status) : failed("notLeader");
  }
}
