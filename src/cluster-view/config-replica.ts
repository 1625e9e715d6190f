import { TextCompression } from "../runtime/text-compression.js";
import { Config, ConfigReader } from "../configuration/config.js";
import type { ReplicaUpdate } from "./replica-update.js";
import {
  ConfigItems,
  type ConfigSection,
  type NumberedConfig,
} from "../configuration/config-items.js";
import { WatchRequest, type ConfigUpdate, type LeasedView } from "../control-protocol/command.js";
import { SetDigest } from "../configuration/set-digest.js";

const without = <T>(section: Record<string, T>, gone: ReadonlySet<string>): Record<string, T> =>
  gone.size === 0
    ? section
    : Object.fromEntries(Object.entries(section).filter(([name]) => !gone.has(name)));

/** A daemon's copy of the configuration in force: taken whole or kept up by items, and compared with the leader's digest. */
export class ConfigReplica {
  private readonly reader = new ConfigReader();
  private held: NumberedConfig = { config: Config.empty, numbers: new Map() };
  private hashes = new Map<string, bigint>();
  private setDigest = new SetDigest();
  private isSound = true;
  /** The sequence of the configuration that is held; 0 for none yet. */
  sequence = 0;

  /** The sequence to ask by: none where the copy was found to differ, so that the whole comes. */
  get knownSequence(): number {
    return this.isSound ? this.sequence : 0;
  }

  /** The configuration that is held. */
  get config(): Config {
    return this.held.config;
  }

  /** The numbers of services and routes. */
  get numbers(): ReadonlyMap<string, number> {
    return this.held.numbers;
  }

  /** Takes what a view tells. Where the copy differs afterwards, the view must not be served by. */
  take(view: LeasedView): ReplicaUpdate {
    const text =
      view.config ??
      (view.packedConfig === undefined ? undefined : TextCompression.decompress(view.packedConfig));
    if (text !== undefined) {
      this.takeWhole(this.reader.read(text), view.numbers ?? {});
      this.sequence = view.configSequence;
      this.isSound = true;
      return "changed";
    }
    const isNews = view.configSequence !== this.sequence;
    const update = isNews ? WatchRequest.configUpdate(view) : undefined;
    if (isNews && this.isSound && update !== undefined && update.base < this.sequence)
      return "outdated";
    if (isNews && update?.base !== this.sequence) return this.differ();
    if (update) this.takeUpdate(update);
    const digest = view.configDigest;
    if (
      isNews &&
      digest !== undefined &&
      digest !== ConfigItems.digest(this.setDigest, this.config)
    )
      return this.differ();
    this.sequence = view.configSequence;
    return isNews ? "changed" : "same";
  }

  private differ(): "differs" {
    this.isSound = false;
    return "differs";
  }

  private takeWhole(config: Config, numbers: Record<string, number>): void {
    this.held = { config, numbers: new Map(Object.entries(numbers)) };
    this.hashes = new Map();
    this.setDigest = new SetDigest();
    for (const item of ConfigItems.all(this.held)) this.put(item.key, ConfigItems.hash(item));
  }

  private takeUpdate({ put, removed, numbers }: ConfigUpdate): void {
    const gone = new Set(removed);
    for (const key of gone) this.drop(key);
    for (const item of ConfigItems.all({ config: put, numbers: new Map(Object.entries(numbers)) }))
      this.put(item.key, ConfigItems.hash(item));
    const { config } = this.held;
    const limits = put.limits ?? (gone.has(ConfigItems.limitsKey) ? undefined : config.limits);
    const namesGone = (section: ConfigSection): ReadonlySet<string> =>
      new Set(
        removed
          .map((key) => ConfigItems.named(key))
          .filter((one) => one?.section === section)
          .map((one) => one?.name ?? ""),
      );
    this.held = {
      config: {
        services: { ...without(config.services, namesGone("services")), ...put.services },
        routes: { ...without(config.routes, namesGone("routes")), ...put.routes },
        goals: { ...without(config.goals ?? {}, namesGone("goals")), ...put.goals },
        ...(limits ? { limits } : {}),
      },
      numbers: this.numbersAfter(gone, numbers),
    };
  }

  private numbersAfter(
    gone: ReadonlySet<string>,
    numbers: Record<string, number>,
  ): ReadonlyMap<string, number> {
    const after = new Map(this.held.numbers);
    for (const key of gone) after.delete(ConfigItems.numberedName(key) ?? "");
    for (const [name, number] of Object.entries(numbers)) after.set(name, number);
    return after;
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
