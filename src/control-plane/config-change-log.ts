/** The configuration updates in leased views. */
import type { StateMachine } from "../state/state-machine.js";
import { TextCompression } from "../runtime/text-compression.js";
import { type Config, EMPTY_CONFIG } from "../configuration/config.js";
import {
  ConfigItems,
  type ConfigItem,
  type NumberedConfig,
} from "../configuration/config-items.js";
import { COMPRESSION_THRESHOLD_CHARS } from "../control-protocol/compressed-text.js";
import type { ConfigUpdate } from "../control-protocol/leased-view.js";
import { ChangeBuffer, DEFAULT_MAX_CHANGE_BYTES } from "./change-buffer.js";
import { SetDigest } from "../configuration/set-digest.js";

/** Marks the keys of removed items among the keys of changed items. */
const REMOVED_PREFIX = "-";

/** The key of the view part that contains the complete configuration. */
const COMPLETE = -1;

/** A configuration item as last observed, with its hash. */
interface ObservedItem {
  readonly value: ConfigItem["value"];
  readonly hash: bigint;
}

const NO_ITEMS: NumberedConfig = { config: EMPTY_CONFIG, ids: new Map() };

/**
 * Whether a daemon that removes the `removed` items and appends the new routes gets the routes in their new order. Otherwise
 * it needs the complete configuration, since the first of several matching routes is used.
 */
const isOrderPreserved = (
  previous: Config["routes"],
  next: Config["routes"],
  removed: ReadonlySet<string>,
): boolean => {
  const names = Object.keys(next);
  let index = 0;
  for (const name of Object.keys(previous)) {
    if (removed.has(ConfigItems.key("routes", name))) continue;
    if (names[index] !== name) return false;
    index += 1;
  }
  return names
    .slice(index)
    .every((name) => !Object.hasOwn(previous, name) || isAddedAgain(name, removed));
};

/** Whether a route was removed and added again, which moves it to the end. */
const isAddedAgain = (name: string, removed: ReadonlySet<string>): boolean =>
  removed.has(ConfigItems.key("routes", name));

/** Builds the configuration part of views: the items that changed since a daemon's sequence, or the complete configuration. */
export class ConfigChangeLog {
  private readonly stateMachine: StateMachine;
  private readonly readActive: () => Config;
  private current = NO_ITEMS;
  private currentSequence = 0;
  private items = new Map<string, ObservedItem>();
  private setDigest = new SetDigest();
  private changes = new ChangeBuffer(0, DEFAULT_MAX_CHANGE_BYTES);
  /** The view parts of the current sequence by the daemon's sequence; `COMPLETE` is the key of the complete configuration. */
  private readonly viewParts = new Map<number, string>();
  private serviceNames: string[] = [];
  private digest = "";

  /** Tracks the active configuration, which `readActive` returns parsed. */
  constructor(stateMachine: StateMachine, readActive: () => Config) {
    this.stateMachine = stateMachine;
    this.readActive = readActive;
  }

  /** The services of the active configuration. */
  get services(): readonly string[] {
    this.observe();
    return this.serviceNames;
  }

  /** Clears all state at the start of a term: the next observation counts as the first one. */
  reset(): void {
    this.current = NO_ITEMS;
    this.currentSequence = 0;
    this.items = new Map();
    this.setDigest = new SetDigest();
    this.changes = new ChangeBuffer(0, DEFAULT_MAX_CHANGE_BYTES);
    this.viewParts.clear();
  }

  /** The part of a view that updates a daemon from its sequence to the active one. */
  viewPart(fromSequence: number): string {
    this.observe();
    const cached = this.viewParts.get(fromSequence);
    if (cached !== undefined) return cached;
    const changedKeys = this.changes.keysChangedSince(fromSequence);
    const content =
      changedKeys && changedKeys.size < this.items.size / 2
        ? this.changesPart(fromSequence, changedKeys)
        : this.completePart();
    const part = `${content},"configDigest":"${this.digest}"`;
    this.viewParts.set(fromSequence, part);
    return part;
  }

  private changesPart(base: number, changedKeys: ReadonlySet<string>): string {
    const update: ConfigUpdate = {
      base,
      put: { services: {}, routes: {}, goals: {} },
      removed: [],
      numbers: {},
    };
    this.putChangedItems(update, changedKeys);
    for (const key of changedKeys) {
      if (key.startsWith(REMOVED_PREFIX)) update.removed.push(key.slice(REMOVED_PREFIX.length));
      const name = ConfigItems.parseIdKey(key) ?? "";
      const number = this.current.ids.get(name);
      if (number !== undefined) update.numbers[name] = number;
    }
    const text = JSON.stringify(update);
    return text.length > COMPRESSION_THRESHOLD_CHARS
      ? `"packedConfigChanges":"${TextCompression.compress(text)}"`
      : `"configChanges":${text}`;
  }

  private putChangedItems({ put }: ConfigUpdate, changedKeys: ReadonlySet<string>): void {
    const { services, routes, goals, limits } = this.current.config;
    const isChanged = (key: string): boolean => changedKeys.has(key);
    for (const [name, service] of Object.entries(services))
      if (isChanged(ConfigItems.key("services", name)))
        put.services[name] = ConfigItems.withoutOrigin(service);
    for (const [name, route] of Object.entries(routes))
      if (isChanged(ConfigItems.key("routes", name)))
        put.routes[name] = ConfigItems.withoutOrigin(route);
    put.goals = Object.fromEntries(
      Object.entries(goals ?? {}).filter(([name]) => isChanged(ConfigItems.key("goals", name))),
    );
    if (limits && isChanged(ConfigItems.limitsKey)) put.limits = ConfigItems.withoutOrigin(limits);
  }

  private completePart(): string {
    const cached = this.viewParts.get(COMPLETE);
    if (cached !== undefined) return cached;
    const text = JSON.stringify(ConfigItems.configWithoutOrigins(this.current.config));
    const config =
      text.length > COMPRESSION_THRESHOLD_CHARS
        ? `"packedConfig":"${TextCompression.compress(text)}"`
        : `"config":${JSON.stringify(text)}`;
    const part = `${config},"numbers":${JSON.stringify(Object.fromEntries(this.current.ids))}`;
    this.viewParts.set(COMPLETE, part);
    return part;
  }

  /** Compares the active configuration with the last observed one, and records the differences as changes. */
  private observe(): void {
    const sequence = this.stateMachine.activeConfig?.sequence ?? 0;
    if (sequence === this.currentSequence) return;
    const next = {
      config: this.readActive(),
      ids: new Map(this.stateMachine.idAllocator.activeIds),
    };
    const isFirst = this.currentSequence === 0;
    const changedKeys = this.updateItems(next);
    const removed = new Set(
      changedKeys
        .filter((key) => key.startsWith(REMOVED_PREFIX))
        .map((key) => key.slice(REMOVED_PREFIX.length)),
    );
    const isInOrder = isOrderPreserved(this.current.config.routes, next.config.routes, removed);
    this.current = next;
    this.currentSequence = sequence;
    this.viewParts.clear();
    this.digest = ConfigItems.digest(this.setDigest, next.config);
    this.serviceNames = Object.keys(next.config.services);
    if (isFirst || !isInOrder) this.changes = new ChangeBuffer(sequence, DEFAULT_MAX_CHANGE_BYTES);
    else this.changes.record(sequence, changedKeys);
  }

  /** Replaces the observed items; returns the keys of those that changed or were removed. */
  private updateItems(next: NumberedConfig): string[] {
    const changedKeys: string[] = [];
    const currentItems = new Map<string, ObservedItem>();
    for (const item of ConfigItems.all(next)) {
      const previous = this.items.get(item.key);
      if (previous?.value === item.value) {
        currentItems.set(item.key, previous);
        continue;
      }
      const hash = ConfigItems.hash(item);
      currentItems.set(item.key, { value: item.value, hash });
      if (previous?.hash === hash) continue;
      changedKeys.push(item.key);
      if (previous) this.setDigest.remove(previous.hash);
      this.setDigest.add(hash);
    }
    for (const [key, { hash }] of this.items) {
      if (currentItems.has(key)) continue;
      changedKeys.push(`${REMOVED_PREFIX}${key}`);
      this.setDigest.remove(hash);
    }
    this.items = currentItems;
    return changedKeys;
  }
}
