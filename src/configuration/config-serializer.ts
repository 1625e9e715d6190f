/** Serializes configurations, reusing the texts of items that were serialized before. */
import type { Config } from "./config-shape.js";

/** The texts of items that were serialized before: an item is never changed once it has been read. */
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
 * A configuration as JSON, the same text that `JSON.stringify` returns. Each item is serialized once, so that a change of a few
 * items costs little, however many there are.
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
