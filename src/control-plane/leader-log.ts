/** The leader's access to the replicated log: the lease that lets it respond, and proposals with typed results. */
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

/** The result where this member doesn't hold the leader's lease, so that it must not respond. */
export const NO_LEASE: FailedCommand = failed("noGrant");

/** What the control plane uses of the member of the replicated log. */
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

/** Proposes commands to the replicated log and guards reads by the leader's lease. */
export class LeaderLog {
  private readonly runtime: Runtime;
  private readonly replica: LeaderReplica;

  constructor(runtime: Runtime, replica: LeaderReplica) {
    this.runtime = runtime;
    this.replica = replica;
  }

  /** Whether this member leads and may respond from its state. */
  get holdsLease(): boolean {
    return this.replica.holdsLease;
  }

  /** The response with the body that `read` makes, if this member may respond. */
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

  /** Proposes a command in a task of its own; `onResult` receives the result. */
  submit(command: LogCommand, onResult: (result: CommandResult) => void = () => undefined): void {
    startTask(this.runtime, "control-plane", this.propose(command), onResult);
  }
}
