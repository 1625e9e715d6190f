import type { Config } from "./config.js";

/** The texts of items that were written before: items are never changed once they are read. */
const written = new WeakMap<object, string>();

const itemText = (item: object): string => {
  const known = written.get(item);
  if (known !== undefined) return known;
  const text = JSON.stringify(item);
  written.set(item, text);
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
 * A configuration as JSON, the same text that `JSON.stringify` gives. Its items are written once each, so that a change of a few
 * of them costs little, however many there are.
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
