import type { Config } from "./config.js";
import { itemHash, SetDigest } from "./set-digest.js";

/** The sections of a configuration whose items have names. */
const sections = ["services", "routes", "goals"] as const;

/** A section of a configuration whose items have names. */
export type ConfigSection = (typeof sections)[number];

const limitsKey = "limits";
const numberPrefix = "number ";

/** One item of a configuration: its key among all items, and what is hashed of it. */
export interface ConfigItem {
  readonly key: string;
  readonly value: object | number;
}

const sectionOf = (config: Config, section: ConfigSection): Record<string, object> =>
  config[section] ?? {};

const itemsForEdges = <T extends object>(section: Record<string, T>): Record<string, T> =>
  Object.fromEntries(
    Object.entries(section).map(([name, item]) => [name, ConfigItems.forEdges(item)]),
  );

/** A configuration and the numbers of its services and routes, as edges hold them. */
export interface NumberedConfig {
  readonly config: Config;
  readonly numbers: ReadonlyMap<string, number>;
}

/** Items of configurations: what changes, travels and is compared by itself. What an adapter keeps with items stays behind. */
export const ConfigItems = {
  sections,
  limitsKey,

  /** The key of a named item. */
  key: (section: ConfigSection, name: string): string => `${section} ${name}`,

  /** The key of a number that a service or a route has. */
  numberKey: (name: string): string => `${numberPrefix}${name}`,

  /** The section and the name behind a key; `undefined` for limits and numbers. */
  named(key: string): { section: ConfigSection; name: string } | undefined {
    const section = sections.find((one) => key.startsWith(`${one} `));
    return section && { section, name: key.slice(section.length + 1) };
  },

  /** The service's or route's name behind the key of a number. */
  numberedName: (key: string): string | undefined =>
    key.startsWith(numberPrefix) ? key.slice(numberPrefix.length) : undefined,

  /** All items of a configuration, with its numbers. */
  *all({ config, numbers }: NumberedConfig): Iterable<ConfigItem> {
    for (const section of sections)
      for (const [name, value] of Object.entries(sectionOf(config, section)))
        yield { key: ConfigItems.key(section, name), value };
    if (config.limits) yield { key: limitsKey, value: config.limits };
    for (const [name, value] of numbers) yield { key: ConfigItems.numberKey(name), value };
  },

  /** An item without what an adapter keeps with it. */
  forEdges: <T extends object>(item: T): T => ({ ...item, origin: undefined }),

  /** A whole configuration without what adapters keep with it. */
  wholeForEdges: ({ services, routes, goals, limits }: Config): Config => ({
    services: itemsForEdges(services),
    routes: itemsForEdges(routes),
    ...(goals ? { goals } : {}),
    ...(limits ? { limits: ConfigItems.forEdges(limits) } : {}),
  }),

  /** The hash of an item, over all that edges know of it. */
  hash: ({ key, value }: ConfigItem): bigint =>
    itemHash(
      `${key} ${typeof value === "number" ? value : JSON.stringify(ConfigItems.forEdges(value))}`,
    ),

  /** The digest of a configuration: of its items, and of the order of its routes, by which the first of two alike wins. */
  digest(items: SetDigest, config: Config): string {
    const order = itemHash(Object.keys(config.routes).join(" "));
    return `${items.text}-${order.toString(16)}`;
  },
};
