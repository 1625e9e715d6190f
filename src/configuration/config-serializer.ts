/** Serializes configurations with a cache of the texts of their items. */
import type { Config } from "./config-shape.js";

/** The cached texts of items, which are immutable once they are read. */
const itemTexts = new WeakMap<object, string>();

const itemText = (item: object): string => {
  const cached = itemTexts.get(item);
  if (cached !== undefined) return cached;
  const text = JSON.stringify(item);
  itemTexts.set(item, text);
  return text;
};

const sectionText = (section: Record<string, object>): string => {
  const items: string[] = [];
  for (const name in section) {
    const item = section[name];
    if (item !== undefined) items.push(`${JSON.stringify(name)}:${itemText(item)}`);
  }
  return `{${items.join(",")}}`;
};

/**
 * Serializes a configuration to the same text as `JSON.stringify`. Each item is serialized once, so that the cost of a change
 * depends on the number of changed items only.
 */
export const configText = (config: Config): string => {
  const fields: string[] = [];
  for (const [name, value] of Object.entries(config)) {
    if (value === undefined) continue;
    const text =
      name === "services" || name === "routes" || name === "goals"
        ? sectionText(config[name] ?? {})
        : JSON.stringify(value);
    fields.push(`${JSON.stringify(name)}:${text}`);
  }
  return `{${fields.join(",")}}`;
};
