/** Accepted configurations, their versions, and the changes that made them. */
import { array, number, object, optional, string, type Infer } from "superstruct";
import {
  acceptedConfigShape,
  configNumbers,
  storedConfig,
  versionOf,
  type AcceptedConfig,
  type ConfigNumbers,
} from "./accepted-config.js";
import { decodeConfigPayload } from "./config-payload.js";
import { IdAllocator } from "./id-allocator.js";
import type { Journal } from "./journal.js";
import type { LogCommandOf } from "./log-command.js";
import type { LogOutcome } from "./log-outcome.js";

/** How many configurations are listed without their texts. */
const MAX_RECENT_CONFIGS = 200;
/** How many accepted changes are retained by their ids, so that a retry of one gets the same outcome. */
const MAX_CHANGE_IDS = 2000;

/** An accepted configuration without its text. */
export type RecentConfig = Omit<AcceptedConfig, "text" | "index">;

/** The stored fields of the table in a snapshot; snapshots of former builds have no `recent`. */
export const configTableShape = object({
  configs: array(acceptedConfigShape),
  recent: optional(
    array(
      object({
        sequence: number(),
        version: optional(number()),
        changeId: string(),
        acceptedAt: string(),
      }),
    ),
  ),
  changes: array(object({ changeId: string(), sequence: number(), version: optional(number()) })),
});

/** The table as it is read from a snapshot. */
export type StoredConfigTable = Infer<typeof configTableShape>;

/** The configurations that were accepted, the active one last. */
export class ConfigTable {
  /** The active configuration, and before it those that this member's history may not contain yet. */
  accepted: AcceptedConfig[] = [];
  /** The last configurations, without their texts. */
  recent: RecentConfig[] = [];
  private changes = new Map<string, ConfigNumbers>();
  private readonly ids: IdAllocator;
  private readonly journal: Journal;

  constructor(ids: IdAllocator, journal: Journal) {
    this.ids = ids;
    this.journal = journal;
  }

  /** The active configuration. */
  get active(): AcceptedConfig | undefined {
    return this.accepted.at(-1);
  }

  /** The active version, or 0 for none. */
  get version(): number {
    return this.active ? versionOf(this.active) : 0;
  }

  /** The version under which a change was accepted, if it was and is retained. */
  findVersionOfChange(changeId: string): number | undefined {
    const numbers = this.changes.get(changeId);
    return numbers && versionOf(numbers);
  }

  /** The version up to which the ids of changes aren't retained any more, or 0. */
  get forgottenUpTo(): number {
    if (this.changes.size < MAX_CHANGE_IDS) return 0;
    const [oldest] = this.changes.values();
    return oldest ? versionOf(oldest) - 1 : 0;
  }

  /** Drops the configurations up to a sequence, which the history contains, except the active one. */
  release(upToSequence: number): void {
    this.accepted = this.after(upToSequence);
  }

  /** The stored form of the table, without the configurations up to a sequence, which the history contains. */
  toStored(historyUpTo: number): StoredConfigTable {
    return {
      configs: this.after(historyUpTo).map(storedConfig),
      recent: this.recent,
      changes: [...this.changes].map(([changeId, numbers]) => ({ changeId, ...numbers })),
    };
  }

  /** Takes over a stored table. */
  restore({ configs, recent, changes }: StoredConfigTable): void {
    this.accepted = configs;
    this.recent =
      recent ??
      configs.map(({ sequence, version, changeId, acceptedAt }) => ({
        ...configNumbers(sequence, version ?? sequence),
        changeId,
        acceptedAt,
      }));
    this.changes = new Map(
      changes.map(({ changeId, sequence, version }) => [
        changeId,
        configNumbers(sequence, version ?? sequence),
      ]),
    );
  }

  /** Accepts a configuration, unless its change was accepted before or another one is active than it builds on. */
  apply(index: number, command: LogCommandOf<"config">): LogOutcome {
    const { changeId, acceptedAt } = command;
    const activeSequence = this.active?.sequence ?? 0;
    const accepted = this.findVersionOfChange(changeId);
    if (accepted !== undefined) return { accepted };
    const version = command.version ?? this.version + 1;
    if (command.expected !== activeSequence || version <= this.version)
      return { lost: this.version };
    const numbers = configNumbers(activeSequence + 1, version);
    this.accepted.push({
      ...numbers,
      index,
      changeId,
      acceptedAt,
      ...decodeConfigPayload(command, this.active?.text),
    });
    this.recent = [
      ...this.recent.slice(1 - MAX_RECENT_CONFIGS),
      { ...numbers, changeId, acceptedAt },
    ];
    this.noteChange(changeId, numbers);
    this.allocateIds(command);
    this.journal.add(index, `Config ${version} is in force (change ${changeId}).`);
    return { accepted: version };
  }

  private noteChange(changeId: string, numbers: ConfigNumbers): void {
    this.changes.set(changeId, numbers);
    for (const oldest of this.changes.keys()) {
      if (this.changes.size <= MAX_CHANGE_IDS) break;
      this.changes.delete(oldest);
    }
  }

  /** Allocates ids to the names that a configuration brings into use. */
  private allocateIds({
    services = [],
    routes = [],
    names,
    rested = [],
  }: LogCommandOf<"config">): void {
    if (names) {
      this.ids.applyNameChanges(names, rested);
      return;
    }
    this.ids.setActiveNames(
      [
        ...services.map((service) => IdAllocator.serviceName(service)),
        ...routes.map((route) => IdAllocator.routeName(route)),
      ],
      rested,
    );
  }

  private after(sequence: number): AcceptedConfig[] {
    return this.accepted.filter(
      (config, index) => config.sequence > sequence || index === this.accepted.length - 1,
    );
  }
}
