/** Accepted configurations, their versions, and the ids of their changes. */
import { array, number, object, optional, string, type Infer } from "superstruct";
import {
  acceptedConfigShape,
  configNumbers,
  storedConfig,
  versionOf,
  type AcceptedConfig,
  type ConfigNumbers,
} from "./accepted-config.js";
import { ConfigBacklog } from "./config-backlog.js";
import { IdAllocator } from "./id-allocator.js";
import type { Journal } from "./journal.js";
import type { LogCommandOf } from "./log-command.js";
import type { LogOutcome } from "./log-outcome.js";

/** Maximum number of configurations that are listed without their texts. */
const MAX_RECENT_CONFIGS = 200;
/** Maximum number of retained change ids, by which the retry of an accepted change gets the same outcome. */
const MAX_CHANGE_IDS = 2000;

/**
 * Maximum length of the configurations' texts in a snapshot, in UTF-16 code units; the active one may exceed it. A member that gets
 * a snapshot without older ones fetches them for its history.
 */
const MAX_SNAPSHOT_TEXT_LENGTH = 4 * 1024 * 1024;

/** An accepted configuration without its text. */
export type RecentConfig = Omit<AcceptedConfig, "text" | "index">;

/** The stored fields of the table in a snapshot; snapshots of older builds lack `recent`. */
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

/** The table as stored in a snapshot. */
export type StoredConfigTable = Infer<typeof configTableShape>;

/** The table of accepted configurations. */
export class ConfigTable {
  /** Configurations that this member's history may not contain yet, followed by the active one. */
  readonly backlog = new ConfigBacklog();
  /** The last configurations, without their texts. */
  recent: RecentConfig[] = [];
  private changes = new Map<string, ConfigNumbers>();
  private readonly idAllocator: IdAllocator;
  private readonly journal: Journal;

  constructor(idAllocator: IdAllocator, journal: Journal) {
    this.idAllocator = idAllocator;
    this.journal = journal;
  }

  /** The active configuration. */
  get active(): AcceptedConfig | undefined {
    return this.backlog.newest;
  }

  /** The active version, or 0 for none. */
  get version(): number {
    return this.active ? versionOf(this.active) : 0;
  }

  /** The version that an accepted change got, if its id is still retained. */
  findVersionOfChange(changeId: string): number | undefined {
    const numbers = this.changes.get(changeId);
    return numbers && versionOf(numbers);
  }

  /** The version up to which the ids of changes were dropped, or 0. */
  get forgottenUpTo(): number {
    if (this.changes.size < MAX_CHANGE_IDS) return 0;
    const [oldest] = this.changes.values();
    return oldest ? versionOf(oldest) - 1 : 0;
  }

  /** Whether a snapshot would lack configurations that this member's history may not contain. */
  get exceedsSnapshot(): boolean {
    return this.backlog.size > 1 && this.backlog.textLength > MAX_SNAPSHOT_TEXT_LENGTH;
  }

  /**
   * The stored form of the table, without the configurations up to `historyUpTo`, which the history contains, and without the
   * oldest beyond `MAX_SNAPSHOT_TEXT_LENGTH`.
   */
  toStored(historyUpTo: number): StoredConfigTable {
    const from = Math.max(
      historyUpTo + 1,
      this.backlog.firstSequenceWithin(MAX_SNAPSHOT_TEXT_LENGTH),
    );
    const configs = [...this.backlog.readFrom(Math.min(from, this.active?.sequence ?? 0))];
    return {
      configs: configs.map(storedConfig),
      recent: this.recent,
      changes: [...this.changes].map(([changeId, numbers]) => ({ changeId, ...numbers })),
    };
  }

  /** Loads a stored table. */
  restore({ configs, recent, changes }: StoredConfigTable): void {
    this.backlog.restore(configs);
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

  /** Accepts a configuration, unless its change was accepted before or it isn't based on the active configuration. */
  apply(index: number, command: LogCommandOf<"config">): LogOutcome {
    const { changeId, acceptedAt } = command;
    const activeSequence = this.active?.sequence ?? 0;
    const accepted = this.findVersionOfChange(changeId);
    if (accepted !== undefined) return { accepted };
    const version = command.version ?? this.version + 1;
    if (command.expected !== activeSequence || version <= this.version)
      return { lost: this.version };
    const numbers = configNumbers(activeSequence + 1, version);
    const { text, packedText, delta, packedDelta } = command;
    this.backlog.add(
      { ...numbers, index, changeId, acceptedAt },
      { text, packedText, delta, packedDelta },
    );
    this.recent = [
      ...this.recent.slice(1 - MAX_RECENT_CONFIGS),
      { ...numbers, changeId, acceptedAt },
    ];
    this.recordChange(changeId, numbers);
    this.allocateIds(command);
    this.journal.add(index, `Config ${version} is in force (change ${changeId}).`);
    return { accepted: version };
  }

  private recordChange(changeId: string, numbers: ConfigNumbers): void {
    this.changes.set(changeId, numbers);
    for (const oldest of this.changes.keys()) {
      if (this.changes.size <= MAX_CHANGE_IDS) break;
      this.changes.delete(oldest);
    }
  }

  /** Allocates ids to the names that a configuration adds. */
  private allocateIds({
    services = [],
    routes = [],
    names,
    rested: reusableIds = [],
  }: LogCommandOf<"config">): void {
    if (names) {
      this.idAllocator.applyNameChanges(names, reusableIds);
      return;
    }
    this.idAllocator.setActiveNames(
      [
        ...services.map((service) => IdAllocator.serviceName(service)),
        ...routes.map((route) => IdAllocator.routeName(route)),
      ],
      reusableIds,
    );
  }
}
