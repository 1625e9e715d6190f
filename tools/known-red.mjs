import { existsSync, readFileSync } from "node:fs";

const file = new URL("../KNOWN-RED.txt", import.meta.url);
const mostLines = 3;

/** The tests that KNOWN-RED.txt lists, one a line: the test's whole name, its cause and its issue, parted by " | ". */
export const knownRed = () => {
  const lines = existsSync(file)
    ? readFileSync(file, "utf8")
        .split("\n")
        .filter((line) => line.trim() !== "")
    : [];
  if (lines.length > mostLines)
    throw new Error(
      `KNOWN-RED.txt lists ${lines.length} tests; ${mostLines} at most may stay red.`,
    );
  return lines.map((line) => {
    const [name = "", cause = "", issue = ""] = line.split(" | ");
    if (cause === "" || issue === "")
      throw new Error(`KNOWN-RED.txt: no cause or issue in "${line}".`);
    return { name, cause, issue };
  });
};

/** A pattern that takes all tests but those that are known to be red; undefined where none is. */
export const greenPattern = () => {
  const names = knownRed().map(({ name }) => name.replace(/[.*+?^${}()|[\]\\]/g, "\\$&"));
  return names.length === 0 ? undefined : new RegExp(`^(?!.*(?:${names.join("|")})).*$`);
};
