/** The updates of the configuration that leased views contain. */
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

/** The prefix of the key of a removed item among the keys of changed items. */
const REMOVED_PREFIX = "-";

/** The key of the part with the whole configuration. */
const COMPLETE = -1;

/** An item that was observed, with its hash. */
interface ObservedItem {
  readonly value: ConfigItem["value"];
  readonly hash: bigint;
}

const NO_ITEMS: NumberedConfig = { config: EMPTY_CONFIG, ids: new Map() };

/** Whether the order of routes is the one that a daemon has after it removed some of the former ones and added others at the end. */
const isOrderPreserved = (
  former: Config["routes"],
  next: Config["routes"],
  removed: ReadonlySet<string>,
): boolean => {
  const names = Object.keys(next);
  let index = 0;
  for (const name of Object.keys(former)) {
    if (removed.has(ConfigItems.key("routes", name))) continue;
    if (names[index] !== name) return false;
    index += 1;
  }
  return names
    .slice(index)
    .every((name) => !Object.hasOwn(former, name) || isAddedAgain(name, removed));
};

/** Whether a route was removed and added again, so that it stands at the end. */
const isAddedAgain = (name: string, removed: ReadonlySet<string>): boolean =>
  removed.has(ConfigItems.key("routes", name));

/** What views contain of the active configuration: the items that changed since the sequence that a daemon has, or all. */
export class ConfigChangeLog {
  private readonly stateMachine: StateMachine;
  private readonly readActive: () => Config;
  private current = NO_ITEMS;
  private currentSequence = 0;
  private items = new Map<string, ObservedItem>();
  private setDigest = new SetDigest();
  private changes = new ChangeBuffer(0, DEFAULT_MAX_CHANGE_BYTES);
  /** The parts of views under the present sequence, by the sequence that the daemon has; the whole configuration under `WHOLE`. */
  private readonly viewParts = new Map<number, string>();
  private serviceNames: string[] = [];
  private digestText = "";

  /** Follows the active configuration, which `readActive` returns parsed. */
  constructor(stateMachine: StateMachine, readActive: () => Config) {
    this.stateMachine = stateMachine;
    this.readActive = readActive;
  }

  /** The services of the active configuration. */
  get services(): readonly string[] {
    this.observe();
    return this.serviceNames;
  }

  /** Forgets all observations, at the begin of a term: the next one takes the active configuration as the first. */
  reset(): void {
    this.current = NO_ITEMS;
    this.currentSequence = 0;
    this.items = new Map();
    this.setDigest = new SetDigest();
    this.changes = new ChangeBuffer(0, DEFAULT_MAX_CHANGE_BYTES);
    this.viewParts.clear();
  }

  /** The part of a view that updates a daemon from the sequence that it has to the active one. */
  viewPart(fromSequence: number): string {
    this.observe();
    const cached = this.viewParts.get(fromSequence);
    if (cached !== undefined) return cached;
    const touched = this.changes.keysChangedSince(fromSequence);
    const content =
      touched && touched.size < this.items.size / 2
        ? this.changesPart(fromSequence, touched)
        : this.wholePart();
    const part = `${content},"configDigest":"${this.digestText}"`;
    this.viewParts.set(fromSequence, part);
    return part;
  }

  private changesPart(base: number, touched: ReadonlySet<string>): string {
    const update: ConfigUpdate = {
      base,
      put: { services: {}, routes: {}, goals: {} },
      removed: [],
      numbers: {},
    };
    this.putTouched(update, touched);
    for (const key of touched) {
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

  private putTouched({ put }: ConfigUpdate, touched: ReadonlySet<string>): void {
    const { services, routes, goals, limits } = this.current.config;
    const isTouched = (key: string): boolean => touched.has(key);
    for (const [name, service] of Object.entries(services))
      if (isTouched(ConfigItems.key("services", name)))
        put.services[name] = ConfigItems.withoutOrigin(service);
    for (const [name, route] of Object.entries(routes))
      if (isTouched(ConfigItems.key("routes", name)))
        put.routes[name] = ConfigItems.withoutOrigin(route);
    put.goals = Object.fromEntries(
      Object.entries(goals ?? {}).filter(([name]) => isTouched(ConfigItems.key("goals", name))),
    );
    if (limits && isTouched(ConfigItems.limitsKey)) put.limits = ConfigItems.withoutOrigin(limits);
  }

  private wholePart(): string {
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

  /** Compares the active configuration with the one of the last observation; what differs has changed since. */
  private observe(): void {
    const sequence = this.stateMachine.activeConfig?.sequence ?? 0;
    if (sequence === this.currentSequence) return;
    const next = {
      config: this.readActive(),
      numbers: new Map(this.stateMachine.idAllocator.activeIds),
    };
    const isFirst = this.currentSequence === 0;
    const touched = this.takeItems(next);
    const removed = new Set(
      touched
        .filter((key) => key.startsWith(REMOVED_PREFIX))
        .map((key) => key.slice(REMOVED_PREFIX.length)),
    );
    const isInOrder = isOrderPreserved(this.current.config.routes, next.config.routes, removed);
    this.current = next;
    this.currentSequence = sequence;
    this.viewParts.clear();
    this.digestText = ConfigItems.digest(this.setDigest, next.config);
    this.serviceNames = Object.keys(next.config.services);
    if (isFirst || !isInOrder) this.changes = new ChangeBuffer(sequence, DEFAULT_MAX_CHANGE_BYTES);
    else this.changes.record(sequence, touched);
  }

  /** Takes over all items; returns the keys of those that changed or were removed. */
  private takeItems(next: NumberedConfig): string[] {
    const touched: string[] = [];
    const present = new Map<string, ObservedItem>();
    for (const item of ConfigItems.all(next)) {
      const former = this.items.get(item.key);
      if (former?.value === item.value) {
        present.set(item.key, former);
        continue;
      }
      const hash = ConfigItems.hash(item);
      present.set(item.key, { value: item.value, hash });
      if (former?.hash === hash) continue;
      touched.push(item.key);
      if (former) this.setDigest.remove(former.hash);
      this.setDigest.add(hash);
    }
    for (const [key, { hash }] of this.items) {
      if (present.has(key)) continue;
      touched.push(`${REMOVED_PREFIX}${key}`);
      this.setDigest.remove(hash);
    }
    this.items = present;
    return touched;
  }
}
