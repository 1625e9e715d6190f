/** A daemon's replica of the configuration, and the digest by which it is compared with the leader's. */
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

const without = <T>(section: Record<string, T>, names: ReadonlySet<string>): Record<string, T> =>
  names.size === 0
    ? section
    : Object.fromEntries(Object.entries(section).filter(([name]) => !names.has(name)));

/** The names of a section's items among some keys. */
const namesIn = (section: ConfigSection, keys: readonly string[]): ReadonlySet<string> =>
  new Set(
    keys
      .map((key) => ConfigItems.parseItemKey(key))
      .filter((item) => item?.section === section)
      .map((item) => item?.name ?? ""),
  );

/** The full configuration that a view carries, if it carries one. */
const fullText = ({ config, packedConfig }: LeasedView): string | undefined =>
  config ?? (packedConfig === undefined ? undefined : TextCompression.decompress(packedConfig));

/** A configuration after the items of an update were put and removed. */
const updatedConfig = (config: Config, { put, removed }: ConfigUpdate): Config => {
  const keptLimits = removed.includes(ConfigItems.limitsKey) ? undefined : config.limits;
  const limits = put.limits ?? keptLimits;
  return {
    services: { ...without(config.services, namesIn("services", removed)), ...put.services },
    routes: { ...without(config.routes, namesIn("routes", removed)), ...put.routes },
    goals: { ...without(config.goals ?? {}, namesIn("goals", removed)), ...put.goals },
    ...(limits ? { limits } : {}),
  };
};

/** A daemon's replica of the configuration in force: replaced in full or updated by items, and compared with the leader's digest. */
export class ConfigReplica {
  private readonly reader = new ConfigReader();
  private current: NumberedConfig = { config: EMPTY_CONFIG, ids: new Map() };
  private hashes = new Map<string, bigint>();
  private setDigest = new SetDigest();
  /** Whether the replica is what the leader had at its sequence, as far as is known. */
  isConsistent = true;
  /** The sequence of the configuration; 0 for none yet. */
  sequence = 0;

  /** The sequence to request changes from; 0 requests a full copy, also where the replica was found to differ. */
  get knownSequence(): number {
    return this.isConsistent ? this.sequence : 0;
  }

  /** The configuration; empty until the first was received. */
  get config(): Config {
    return this.current.config;
  }

  /** The numbers of services and routes. */
  get ids(): ReadonlyMap<string, number> {
    return this.current.ids;
  }

  /** Applies a view. Unless the outcome is `same` or `changed`, the view must not be served by. */
  apply(view: LeasedView): ReplicaUpdate {
    const text = fullText(view);
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
    for (const key of new Set(removed)) this.drop(key);
    for (const item of ConfigItems.all({ config: put, ids: new Map(Object.entries(ids)) }))
      this.put(item.key, ConfigItems.hash(item));
    this.current = {
      config: updatedConfig(this.config, update),
      ids: this.updatedNumbers(removed, ids),
    };
  }

  private updatedNumbers(
    removedKeys: readonly string[],
    ids: Record<string, number>,
  ): ReadonlyMap<string, number> {
    const updated = new Map(this.current.ids);
    for (const key of removedKeys) updated.delete(ConfigItems.parseIdKey(key) ?? "");
    for (const [name, number] of Object.entries(ids)) updated.set(name, number);
    return updated;
  }

  private put(key: string, hash: bigint): void {
    this.drop(key);
    this.hashes.set(key, hash);
    this.setDigest.add(hash);
  }

  private drop(key: string): void {
    const former = this.hashes.get(key);
    if (former === undefined) return;
    this.setDigest.remove(former);
    this.hashes.delete(key);
  }
}
