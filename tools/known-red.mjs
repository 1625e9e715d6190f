/** Reads KNOWN-RED.txt, the list of tests that fail for a known fault and are not run. */
import { existsSync, readFileSync } from "node:fs";

const file = new URL("../KNOWN-RED.txt", import.meta.url);
const maxEntries = 3;

/** The tests listed in KNOWN-RED.txt, one per line: the full name of the test, the cause and the issue, separated by " | ". */
export const knownRed = () => {
  const lines = existsSync(file)
    ? readFileSync(file, "utf8")
        .split("\n")
        .filter((line) => line.trim() !== "")
    : [];
  if (lines.length > maxEntries)
    throw new Error(`KNOWN-RED.txt lists ${lines.length} tests; the limit is ${maxEntries}.`);
  return lines.map((line) => {
    const [name = "", cause = "", issue = ""] = line.split(" | ");
    if (cause === "" || issue === "")
      throw new Error(`KNOWN-RED.txt: the line "${line}" has no cause or no issue.`);
    return { name, cause, issue };
  });
};

/** A pattern that matches the names of all tests except the known red ones; undefined if there are none. */
export const greenPattern = () => {
  const names = knownRed().map(({ name }) => name.replace(/[.*+?^${}()|[\]\\]/g, "\\$&"));
  return names.length === 0 ? undefined : new RegExp(`^(?!.*(?:${names.join("|")})).*$`);
};
