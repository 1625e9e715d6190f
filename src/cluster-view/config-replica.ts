/** A daemon's replica of the active configuration, verified by the leader's digest. */
import { TextCompression } from "../runtime/text-compression.js";
import { type Config, EMPTY_CONFIG } from "../configuration/config.js";
import { ConfigReader } from "../configuration/config-validation.js";
import { classifyUpdate, type ReplicaUpdate } from "./replica-update.js";
import {
  ConfigItems,
  type ConfigSection,
  type NumberedConfig,
} from "../configuration/config-items.js";
import { configUpdateIn } from "../control-protocol/watch-request.js";
import type { ConfigUpdate, LeasedView } from "../control-protocol/leased-view.js";
import { SetDigest } from "../configuration/set-digest.js";

/** Adds an item under any name; an assignment to `__proto__` would not. */
const putItem = <T>(section: Record<string, T>, name: string, value: T): void => {
  if (name !== "__proto__") section[name] = value;
  else
    Object.defineProperty(section, name, {
      value,
      configurable: true,
      enumerable: true,
      writable: true,
    });
};

/** A section with some items removed and others put; the same object if nothing changes. It is copied once only. */
const updatedSection = <T>(
  section: Readonly<Record<string, T>>,
  removedNames: ReadonlySet<string>,
  put: Readonly<Record<string, T>>,
): Record<string, T> => {
  const putItems = Object.entries(put);
  if (removedNames.size === 0 && putItems.length === 0) return section;
  const updated = { ...section };
  for (const name of removedNames) delete updated[name];
  for (const [name, value] of putItems) putItem(updated, name, value);
  return updated;
};

/** Names of the items of one section among item keys. */
const namesIn = (section: ConfigSection, keys: readonly string[]): ReadonlySet<string> =>
  new Set(
    keys
      .map((key) => ConfigItems.parseItemKey(key))
      .filter((item) => item?.section === section)
      .map((item) => item?.name ?? ""),
  );

/** JSON text of the full configuration in a view; `undefined` if the view has none. */
const fullConfigText = ({ config, packedConfig }: LeasedView): string | undefined =>
  config ?? (packedConfig === undefined ? undefined : TextCompression.decompress(packedConfig));

/** The configuration that results from applying an update's put and removed items. */
const updatedConfig = (config: Config, { put, removed }: ConfigUpdate): Config => {
  const remainingLimits = removed.includes(ConfigItems.limitsKey) ? undefined : config.limits;
  const limits = put.limits ?? remainingLimits;
  return {
    services: updatedSection(config.services, namesIn("services", removed), put.services),
    routes: updatedSection(config.routes, namesIn("routes", removed), put.routes),
    goals: updatedSection(config.goals ?? {}, namesIn("goals", removed), put.goals ?? {}),
    ...(limits ? { limits } : {}),
  };
};

/** A daemon's replica of the active configuration: replaced in full or updated by items, then verified by the leader's digest. */
export class ConfigReplica {
  private readonly reader = new ConfigReader();
  private current: NumberedConfig = { config: EMPTY_CONFIG, ids: new Map() };
  private hashes = new Map<string, bigint>();
  private setDigest = new SetDigest();
  /** Whether the replica matches the leader's state at the same sequence, as far as known. */
  isConsistent = true;
  /** Sequence of the configuration; 0 before the first is received. */
  sequence = 0;

  /** Sequence from which to request changes; 0 requests a full copy, also for an inconsistent replica. */
  get knownSequence(): number {
    return this.isConsistent ? this.sequence : 0;
  }

  /** The configuration; empty before the first is received. */
  get config(): Config {
    return this.current.config;
  }

  /** Ids of services and routes, by key. */
  get ids(): ReadonlyMap<string, number> {
    return this.current.ids;
  }

  /** Applies a view. Unless the outcome is `same` or `changed`, the daemon must not serve requests by this view. */
  apply(view: LeasedView): ReplicaUpdate {
    const text = fullConfigText(view);
    if (text !== undefined) {
      this.replaceAll(this.reader.read(text), view.numbers ?? {});
      this.sequence = view.configSequence;
      this.isConsistent = true;
      return "changed";
    }
    const update = view.configSequence === this.sequence ? undefined : configUpdateIn(view);
    const effect = classifyUpdate(this, view.configSequence, update?.base);
    if (effect === "outdated" || effect === "same") return effect;
    if (effect === "differs") return this.markInconsistent();
    if (update) this.applyUpdate(update);
    const digest = view.configDigest;
    if (digest !== undefined && digest !== ConfigItems.digest(this.setDigest, this.config))
      return this.markInconsistent();
    this.sequence = view.configSequence;
    return effect;
  }

  private markInconsistent(): "differs" {
    this.isConsistent = false;
    return "differs";
  }

  private replaceAll(config: Config, ids: Record<string, number>): void {
    this.current = { config, ids: new Map(Object.entries(ids)) };
    this.hashes = new Map();
    this.setDigest = new SetDigest();
    for (const item of ConfigItems.all(this.current)) this.put(item.key, ConfigItems.hash(item));
  }

  private applyUpdate(update: ConfigUpdate): void {
    const { put, removed, numbers: ids } = update;
    for (const key of new Set(removed)) this.remove(key);
    for (const item of ConfigItems.all({ config: put, ids: new Map(Object.entries(ids)) }))
      this.put(item.key, ConfigItems.hash(item));
    this.current = {
      config: updatedConfig(this.config, update),
      ids: this.updatedIds(removed, ids),
    };
  }

  private updatedIds(
    removedKeys: readonly string[],
    ids: Record<string, number>,
  ): ReadonlyMap<string, number> {
    const updated = new Map(this.current.ids);
    for (const key of removedKeys) updated.delete(ConfigItems.parseIdKey(key) ?? "");
    for (const [name, id] of Object.entries(ids)) updated.set(name, id);
    return updated;
  }

  private put(key: string, hash: bigint): void {
    this.remove(key);
    this.hashes.set(key, hash);
    this.setDigest.add(hash);
  }

  private remove(key: string): void {
    const previousHash = this.hashes.get(key);
    if (previousHash === undefined) return;
    this.setDigest.remove(previousHash);
    this.hashes.delete(key);
  }
}
