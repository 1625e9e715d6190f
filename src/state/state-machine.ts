/** The replicated state machine: its tables, and the snapshot of all tables. */
import { array, create, number, optional, string, tuple, type } from "superstruct";
import type { Members } from "../consensus/members.js";
import type { AcceptedConfig } from "./accepted-config.js";
import type { ConfigBacklog } from "./config-backlog.js";
import { ConfigTable, configTableShape, type RecentConfig } from "./config-table.js";
import { IdAllocator } from "./id-allocator.js";
import type { IdempotencyClaim } from "./idempotency-claim.js";
import { claimsShape, IdempotencyClaimTable } from "./idempotency-claim-table.js";
import { Journal, journalShape, type JournalEntry } from "./journal.js";
import { type LogCommand, readLogCommand, type LogCommandOf } from "./log-command.js";
import type { LogOutcome } from "./log-outcome.js";
import { registrationShape, type Registration } from "./registration.js";
import { RegistrationTable } from "./registration-table.js";
import { RetryCapacityHolderTable } from "./retry-capacity-holder-table.js";
import { tombstonesShape, TombstoneTable } from "./tombstone-table.js";

/** The stored shape of a snapshot; snapshots of older builds lack `recent`, `gone` and `holders`. */
const snapshotShape = type({
  voters: array(string()),
  learners: array(string()),
  ...configTableShape.schema,
  contracts: array(registrationShape),
  gone: optional(tombstonesShape),
  directorySequence: number(),
  keys: claimsShape,
  numbering: type({
    inForce: array(tuple([string(), number()])),
    resting: array(tuple([string(), number()])),
    free: array(number()),
    next: number(),
  }),
  journal: journalShape,
  holders: optional(array(string())),
});

/** Called after a command is applied, with the index of its log entry. */
export type AppliedHook = (command: LogCommand, index: number) => void;

/** The replicated tables, which are equal on all members that applied the same log entries. */
export class StateMachine {
  /** The ids of services and routes, by which sketches count them. */
  readonly idAllocator = new IdAllocator();
  private readonly journalTable = new Journal();
  private readonly tombstoneTable = new TombstoneTable();
  private readonly registrationTable = new RegistrationTable(
    this.tombstoneTable,
    this.journalTable,
  );
  private readonly configTable = new ConfigTable(this.idAllocator, this.journalTable);
  private readonly claimTable = new IdempotencyClaimTable();
  private readonly holderTable = new RetryCapacityHolderTable();
  private readonly appliedHooks = new Set<AppliedHook>();

  /** Configurations that this member's history may not contain yet, followed by the active one. */
  get configBacklog(): ConfigBacklog {
    return this.configTable.backlog;
  }

  /** Whether a snapshot would lack configurations that this member's history may not contain. */
  get exceedsSnapshot(): boolean {
    return this.configTable.exceedsSnapshot;
  }

  /** The last accepted configurations, without their texts. */
  get recentConfigs(): RecentConfig[] {
    return this.configTable.recent;
  }

  set recentConfigs(recent: RecentConfig[]) {
    this.configTable.recent = recent;
  }

  /** The active configuration. */
  get activeConfig(): AcceptedConfig | undefined {
    return this.configTable.active;
  }

  /** The active version, or 0 for none. */
  get version(): number {
    return this.configTable.version;
  }

  /** The version that an accepted change got, if its id is still retained. */
  findVersionOfChange(changeId: string): number | undefined {
    return this.configTable.findVersionOfChange(changeId);
  }

  /** The version up to which the ids of changes were dropped, or 0. */
  get changesForgottenUpTo(): number {
    return this.configTable.forgottenUpTo;
  }

  /** The registrations of backends by address; a new object after each change. */
  get registrations(): RegistrationTable["byAddress"] {
    return this.registrationTable.byAddress;
  }

  /** The index of the last log entry that changed the registrations, or 0. */
  get endpointSequence(): number {
    return this.registrationTable.sequence;
  }

  /** The registrations of an instance: at most one active one, and those at addresses that it left. */
  findRegistrations(instance: string): Registration[] {
    return this.registrationTable.findByInstance(instance);
  }

  /** The instances that can't register again, with the indexes of the log entries by which they left. */
  get tombstones(): ReadonlyMap<string, number> {
    return this.tombstoneTable.byInstance;
  }

  /** The idempotency claims by scope. */
  get claims(): ReadonlyMap<string, IdempotencyClaim> {
    return this.claimTable.byScope;
  }

  /** The newest entries of the journal. */
  get journal(): JournalEntry[] {
    return this.journalTable.entries;
  }

  /** The edges that may hold retry capacity. */
  get retryCapacityHolders(): ReadonlySet<string> {
    return this.holderTable.edges;
  }

  /** Registers a hook for applied commands; hooks run in the order of their registration. */
  onApplied(hook: AppliedHook): void {
    this.appliedHooks.add(hook);
  }

  /** Applies the text of a log entry; returns the outcome as JSON. */
  apply(index: number, text: string): string {
    const command = readLogCommand(text);
    const outcome = this.applyCommand(index, command);
    for (const hook of this.appliedHooks) hook(command, index);
    return JSON.stringify(outcome);
  }

  /** Drops the configurations up to a sequence, which the history contains; retains the active one. */
  releaseConfigs(upTo: number): void {
    this.configTable.backlog.release(upTo);
  }

  /** The text of a snapshot, without the configurations up to `historyUpTo`, which the history contains. */
  snapshot(members: Members, historyUpTo = 0): string {
    return JSON.stringify({
      ...members,
      ...this.configTable.toStored(historyUpTo),
      contracts: this.registrationTable.toStored(),
      gone: this.tombstoneTable.toStored(),
      directorySequence: this.registrationTable.sequence,
      keys: this.claimTable.toStored(),
      numbering: this.idAllocator.state,
      journal: this.journalTable.entries,
      holders: this.holderTable.toStored(),
    });
  }

  /** Loads the tables from a snapshot's text; returns the members of the log at the time of the snapshot. */
  restore(text: string): Members {
    const stored = create(JSON.parse(text), snapshotShape);
    this.configTable.restore(stored);
    this.registrationTable.restore(stored.contracts, stored.directorySequence);
    this.tombstoneTable.restore(stored.gone ?? []);
    this.claimTable.restore(stored.keys);
    this.idAllocator.restore(stored.numbering);
    this.journalTable.restore(stored.journal);
    this.holderTable.restore(stored.holders ?? []);
    return { voters: stored.voters, learners: stored.learners };
  }

  private applyCommand(index: number, command: LogCommand): LogOutcome {
    switch (command.kind) {
      case "config":
        return this.configTable.apply(index, command);
      case "contract":
      case "leave":
      case "end":
      case "purge":
        return this.registrationTable.apply(index, command);
      case "forgetGone":
        return this.tombstoneTable.remove(command.instances);
      case "holder":
      case "holdersPast":
        return this.holderTable.apply(command);
      default:
        return this.applyToClaimsOrJournal(index, command);
    }
  }

  private applyToClaimsOrJournal(
    index: number,
    command: LogCommandOf<
      "claim" | "settle" | "release" | "forget" | "leads" | "members" | "rejoined" | "note"
    >,
  ): LogOutcome {
    switch (command.kind) {
      case "claim":
      case "settle":
      case "release":
      case "forget":
        return this.claimTable.apply(index, command);
      default:
        return this.journalTable.apply(index, command);
    }
  }
}
