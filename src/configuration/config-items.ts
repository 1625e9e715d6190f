/** The items of a configuration: the units in which it is changed, transmitted and compared. */
import type { Config } from "./config.js";
import { itemHash, SetDigest } from "./set-digest.js";

/** The sections of a configuration whose items have names. */
const SECTIONS = ["services", "routes", "goals"] as const;

/** A section of a configuration whose items have names. */
export type ConfigSection = (typeof SECTIONS)[number];

const LIMITS_KEY = "limits";
const ID_KEY_PREFIX = "number ";

/** An item of a configuration: its key, unique among all items, and its value. */
export interface ConfigItem {
  readonly key: string;
  readonly value: object | number;
}

const getSection = (config: Config, section: ConfigSection): Record<string, object> =>
  config[section] ?? {};

const itemsWithoutOrigin = <T extends object>(section: Record<string, T>): Record<string, T> =>
  Object.fromEntries(
    Object.entries(section).map(([name, item]) => [name, ConfigItems.withoutOrigin(item)]),
  );

/** A configuration with the ids of its services and routes, as edges store it. */
export interface NumberedConfig {
  readonly config: Config;
  readonly ids: ReadonlyMap<string, number>;
}

/** Operations on the items of configurations. Edges get items without `origin`, the data that adapters store with them. */
export const ConfigItems = {
  /** The sections whose items have names. */
  sections: SECTIONS,
  /** The key of the limits. */
  limitsKey: LIMITS_KEY,

  /** The key of a named item. */
  key: (section: ConfigSection, name: string): string => `${section} ${name}`,

  /** The key of the id of a service or route. */
  idKey: (name: string): string => `${ID_KEY_PREFIX}${name}`,

  /** The section and the name in an item's key; `undefined` for the keys of limits and ids. */
  parseItemKey(key: string): { section: ConfigSection; name: string } | undefined {
    const section = SECTIONS.find((name) => key.startsWith(`${name} `));
    return section && { section, name: key.slice(section.length + 1) };
  },

  /** The name in the key of an id; `undefined` for other keys. */
  parseIdKey: (key: string): string | undefined =>
    key.startsWith(ID_KEY_PREFIX) ? key.slice(ID_KEY_PREFIX.length) : undefined,

  /** All items of a configuration, with its ids. */
  *all({ config, ids }: NumberedConfig): Iterable<ConfigItem> {
    for (const section of SECTIONS)
      for (const [name, value] of Object.entries(getSection(config, section)))
        yield { key: ConfigItems.key(section, name), value };
    if (config.limits) yield { key: LIMITS_KEY, value: config.limits };
    for (const [name, value] of ids) yield { key: ConfigItems.idKey(name), value };
  },

  /** Removes the data that an adapter stores with an item. */
  withoutOrigin: <T extends object>(item: T): T => ({ ...item, origin: undefined }),

  /** Removes the data that adapters store with a configuration and its items. */
  configWithoutOrigins: ({ services, routes, goals, limits }: Config): Config => ({
    services: itemsWithoutOrigin(services),
    routes: itemsWithoutOrigin(routes),
    ...(goals ? { goals } : {}),
    ...(limits ? { limits: ConfigItems.withoutOrigin(limits) } : {}),
  }),

  /** The hash of an item, over the fields that edges get. */
  hash: ({ key, value }: ConfigItem): bigint =>
    itemHash(
      `${key} ${typeof value === "number" ? value : JSON.stringify(ConfigItems.withoutOrigin(value))}`,
    ),

  /** The digest of a configuration. It covers the order of routes, since the first of several matching routes is used. */
  digest(items: SetDigest, config: Config): string {
    const order = itemHash(Object.keys(config.routes).join(" "));
    return `${items.hex}-${order.toString(16)}`;
  },
};
