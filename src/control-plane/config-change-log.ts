import type { StateMachine } from "../state/state-machine.js";
import { TextCompression } from "../runtime/text-compression.js";
import { Config } from "../configuration/config.js";
import {
  ConfigItems,
  type ConfigItem,
  type NumberedConfig,
} from "../configuration/config-items.js";
import { COMPRESSION_THRESHOLD_CHARS } from "../control-protocol/compressed-text.js";
import type { ConfigUpdate } from "../control-protocol/leased-view.js";
import { ChangeBuffer } from "./change-buffer.js";
import { SetDigest } from "../configuration/set-digest.js";

/** How many bytes the names of changed items may take; beyond that the oldest changes are forgotten. */
const keptChangeBytes = 1024 * 1024;
/** In the list of changes: stands before the key of an item that was removed. */
const removedMark = "-";

interface Known {
  readonly value: ConfigItem["value"];
  readonly hash: bigint;
}

const emptyConfig: NumberedConfig = { config: Config.empty, numbers: new Map() };

/** Whether the routes of a config are in the order that a daemon has after it removed some of the former ones and put others at the end. */
const keepsOrder = (
  former: Config["routes"],
  next: Config["routes"],
  removed: ReadonlySet<string>,
): boolean => {
  const names = Object.keys(next);
  let at = 0;
  for (const name of Object.keys(former)) {
    if (removed.has(ConfigItems.key("routes", name))) continue;
    if (names[at] !== name) return false;
    at += 1;
  }
  return names
    .slice(at)
    .every((name) => !Object.hasOwn(former, name) || isBackAgain(name, removed));
};

/** A route that was removed and put anew stands at the end. */
const isBackAgain = (name: string, removed: ReadonlySet<string>): boolean =>
  removed.has(ConfigItems.key("routes", name));

/** What polls are told of the configuration in force: the items that changed since the sequence that a daemon knows, or all. */
export class ConfigChangeLog {
  private readonly stateMachine: StateMachine;
  private readonly read: () => Config;
  private current = emptyConfig;
  private currentSequence = 0;
  private items = new Map<string, Known>();
  private setDigest = new SetDigest();
  private recent = new ChangeBuffer(0, keptChangeBytes);
  /** The parts of views that were made for the present sequence, by the sequence that a daemon knows. */
  private readonly parts = new Map<number, string>();
  private serviceNames: string[] = [];
  private digestText = "";

  /** Follows the configuration in force, which `read` gives as it was parsed. */
  constructor(stateMachine: StateMachine, read: () => Config) {
    this.stateMachine = stateMachine;
    this.read = read;
  }

  /** The services of the configuration in force. */
  get services(): readonly string[] {
    this.observe();
    return this.serviceNames;
  }

  /** Forgets everything, as one that leads anew: the next look takes the configuration in force as the first. */
  reset(): void {
    this.current = emptyConfig;
    this.currentSequence = 0;
    this.items = new Map();
    this.setDigest = new SetDigest();
    this.recent = new ChangeBuffer(0, keptChangeBytes);
    this.parts.clear();
  }

  /** The part of a view that brings a daemon from the sequence that it knows to the one in force. */
  viewPart(known: number): string {
    this.observe();
    const former = this.parts.get(known);
    if (former !== undefined) return former;
    const touched = this.recent.since(known);
    const told =
      touched && touched.size < this.items.size / 2
        ? this.changesPart(known, touched)
        : this.wholePart();
    const part = `${told},"configDigest":"${this.digestText}"`;
    this.parts.set(known, part);
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
      if (key.startsWith(removedMark)) update.removed.push(key.slice(removedMark.length));
      const name = ConfigItems.numberedName(key) ?? "";
      const number = this.current.numbers.get(name);
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
        put.services[name] = ConfigItems.forEdges(service);
    for (const [name, route] of Object.entries(routes))
      if (isTouched(ConfigItems.key("routes", name)))
        put.routes[name] = ConfigItems.forEdges(route);
    put.goals = Object.fromEntries(
      Object.entries(goals ?? {}).filter(([name]) => isTouched(ConfigItems.key("goals", name))),
    );
    if (limits && isTouched(ConfigItems.limitsKey)) put.limits = ConfigItems.forEdges(limits);
  }

  private wholePart(): string {
    const whole = this.parts.get(-1);
    if (whole !== undefined) return whole;
    const text = JSON.stringify(ConfigItems.wholeForEdges(this.current.config));
    const config =
      text.length > COMPRESSION_THRESHOLD_CHARS
        ? `"packedConfig":"${TextCompression.compress(text)}"`
        : `"config":${JSON.stringify(text)}`;
    const part = `${config},"numbers":${JSON.stringify(Object.fromEntries(this.current.numbers))}`;
    this.parts.set(-1, part);
    return part;
  }

  /** Takes notice of the configuration in force: what differs from the last look has changed since. */
  private observe(): void {
    const sequence = this.stateMachine.activeConfig?.sequence ?? 0;
    if (sequence === this.currentSequence) return;
    const next = { config: this.read(), numbers: new Map(this.stateMachine.idAllocator.inForce) };
    const isFirst = this.currentSequence === 0;
    const touched = this.takeItems(next);
    const removed = new Set(
      touched
        .filter((key) => key.startsWith(removedMark))
        .map((key) => key.slice(removedMark.length)),
    );
    const isInOrder = keepsOrder(this.current.config.routes, next.config.routes, removed);
    this.current = next;
    this.currentSequence = sequence;
    this.parts.clear();
    this.digestText = ConfigItems.digest(this.setDigest, next.config);
    this.serviceNames = Object.keys(next.config.services);
    if (isFirst || !isInOrder) this.recent = new ChangeBuffer(sequence, keptChangeBytes);
    else this.recent.note(sequence, touched);
  }

  /** Takes over all items, and tells the keys of those that changed or went. */
  private takeItems(next: NumberedConfig): string[] {
    const touched: string[] = [];
    const present = new Map<string, Known>();
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
      touched.push(`${removedMark}${key}`);
      this.setDigest.remove(hash);
    }
    this.items = present;
    return touched;
  }
}
