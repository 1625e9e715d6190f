/** Idempotency claims at the leader: admission, release and expiry. */
import type { Command } from "../control-protocol/command.js";
import { completed, type CommandResult } from "../control-protocol/command-response.js";
import type { Clock } from "../runtime/clock.js";
import type { Task } from "../runtime/task.js";
import { MAX_IDEMPOTENCY_CLAIMS } from "../state/idempotency-claim-table.js";
import type { LogCommand } from "../state/log-command.js";
import type { StateMachine } from "../state/state-machine.js";
import { ClaimAdmission } from "./claim-admission.js";
import type { LeaderLog } from "./leader-log.js";

/** The age of a claim, counted from the time at which this member applied it. */
interface ClaimAge {
  readonly scope: string;
  /** The index of the log entry that created the claim. */
  readonly index: number;
  readonly appliedMs: number;
}

/** The dependencies and settings of the claim service. */
export interface ClaimServiceOptions {
  readonly clock: Clock;
  readonly log: LeaderLog;
  readonly stateMachine: StateMachine;
  /** Retention time of a claim, in milliseconds. */
  readonly claimTtlMs: number;
}

/** Grants and releases idempotency claims, and expires old ones. */
export class ClaimService {
  private readonly clock: Clock;
  private readonly log: LeaderLog;
  private readonly stateMachine: StateMachine;
  private readonly claimTtlMs: number;
  private readonly admission: ClaimAdmission;
  private claimAges: ClaimAge[] = [];

  constructor({ clock, log, stateMachine, claimTtlMs }: ClaimServiceOptions) {
    this.clock = clock;
    this.log = log;
    this.stateMachine = stateMachine;
    this.claimTtlMs = claimTtlMs;
    this.admission = new ClaimAdmission(clock);
  }

  /** Claims an idempotency key for a request, unless another request holds it or the table is full. */
  *claim(command: Extract<Command, { kind: "claim" }>): Task<CommandResult> {
    const { claims } = this.stateMachine;
    const current = claims.get(command.scope);
    const isAvailable = !current || current.job === command.job || current.job === command.replaces;
    if (!isAvailable && this.log.holdsLease) return completed({ held: current });
    if (!current && claims.size >= MAX_IDEMPOTENCY_CLAIMS)
      return this.log.respond(() => ({ full: true }));
    return yield* this.admission.admit(this.log.propose(command));
  }

  /** Releases the claim of a request that never ran. */
  *release(command: Extract<Command, { kind: "release" }>): Task<CommandResult> {
    return yield* this.log.propose(command);
  }

  /** Tracks the claims that log commands create and remove. */
  onApplied(command: LogCommand, index: number): void {
    if (command.kind === "claim")
      this.claimAges.push({ scope: command.scope, index, appliedMs: this.clock.nowMs() });
    if (command.kind === "forget")
      this.claimAges = this.claimAges.filter((age) => age.index > command.upTo);
  }

  /** Starts a term: the age of every claim counts from now. */
  startTerm(nowMs: number): void {
    this.claimAges = [...this.stateMachine.claims].map(([scope, { atIndex }]) => ({
      scope,
      index: atIndex,
      appliedMs: nowMs,
    }));
  }

  /** Proposes to remove the claims that are older than their retention time. */
  expireClaims(nowMs: number): void {
    const expired = this.claimAges.filter(({ appliedMs }) => nowMs - appliedMs > this.claimTtlMs);
    if (expired.length === 0) return;
    this.log.submit({
      kind: "forget",
      scopes: expired.map(({ scope }) => scope),
      upTo: Math.max(...expired.map(({ index }) => index)),
    });
  }
}
