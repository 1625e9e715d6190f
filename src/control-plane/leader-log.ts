/** The leader's access to the replicated log: the leader lease, which permits responses, and proposals with typed results. */
import {
  completed,
  failed,
  type CommandResult,
  type FailedCommand,
} from "../control-protocol/command-response.js";
import type { ReplicationNode } from "../replication/replication-node.js";
import { type Runtime, startTask } from "../runtime/runtime.js";
import type { Task } from "../runtime/task.js";
import { type LogCommand, encodeLogCommand } from "../state/log-command.js";

/** The result of a member that doesn't hold the leader lease and so must not respond from its state. */
export const NO_LEASE: FailedCommand = failed("noGrant");

/** The part of a replication node that the control plane uses. */
export type LeaderReplica = Pick<
  ReplicationNode,
  | "self"
  | "holdsLease"
  | "currentMembers"
  | "bootstrapStatus"
  | "propose"
  | "readConfig"
  | "addLearner"
  | "onMemberStopping"
  | "onLeadershipChange"
>;

/** Proposes commands to the replicated log, and guards reads by the leader lease. */
export class LeaderLog {
  private readonly runtime: Runtime;
  private readonly replica: LeaderReplica;

  constructor(runtime: Runtime, replica: LeaderReplica) {
    this.runtime = runtime;
    this.replica = replica;
  }

  /** Whether this member leads and holds the lease, so that it may respond from its state. */
  get holdsLease(): boolean {
    return this.replica.holdsLease;
  }

  /** The response with the body that `read` returns, if this member holds the lease. */
  respond(read: () => unknown): CommandResult {
    return this.holdsLease ? completed(read()) : NO_LEASE;
  }

  /** Proposes a command; returns its outcome once it is applied. */
  *propose(command: LogCommand): Task<CommandResult> {
    const proposed = yield* this.replica.propose(encodeLogCommand(command));
    return proposed.kind === "committed"
      ? { kind: "completed", json: proposed.outcome }
      : failed(proposed.kind);
  }

  /** Proposes a command in a separate task; `onResult` receives the result. */
  submit(command: LogCommand, onResult: (result: CommandResult) => void = () => undefined): void {
    startTask(this.runtime, "control-plane", this.propose(command), onResult);
  }
}
