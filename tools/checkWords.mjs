/**
 * Fails where a folder that is listed as done uses a withdrawn word, in code or in comments.
 * Words are found inside identifiers too (`ferryOn`, `newContract`); import paths into folders that aren't done yet are passed over.
 */
import { readdirSync, readFileSync, statSync } from "node:fs";
import { join } from "node:path";

const { words, folders } = JSON.parse(
  readFileSync(new URL("withdrawnWords.json", import.meta.url), "utf8"),
);
const importPath = /from "[^"]*"/g;
/** Names imported from folders that aren't done yet are the business of those folders. */
const importedNames = (text) =>
  [...text.matchAll(/import (?:type )?\{([^}]*)\} from "\.\.\/[^"]*"/g)]
    .flatMap(([, names]) => names.split(","))
    .map((name) => name.replace("type ", "").trim())
    .filter(Boolean);

const filesIn = (folder) =>
  readdirSync(folder).flatMap((name) => {
    const path = join(folder, name);
    return statSync(path).isDirectory() ? filesIn(path) : [path];
  });

/** All uses of withdrawn words in a text, as `line: word, better`. */
export const withdrawnIn = (text) => {
  let plain = text.replace(importPath, "");
  for (const name of importedNames(text))
    plain = plain.replace(new RegExp(`\\b${name}\\b`, "g"), "");
  return plain.split("\n").flatMap((line, at) =>
    Object.entries(words).flatMap(([word, better]) => {
      const capital = word.replace(
        /(^|\|)([a-z])/g,
        (_, bar, letter) => bar + letter.toUpperCase(),
      );
      const pattern = new RegExp(
        `(?<![A-Za-z])(?:${word})(?![a-z])|(?<![A-Z])(?:${capital})(?![a-z])`,
        "g",
      );
      return [...line.matchAll(pattern)].map(([use]) => `${at + 1}: "${use}", better: ${better}`);
    }),
  );
};

if (process.argv[1]?.endsWith("checkWords.mjs")) {
  const faults = folders
    .flatMap(filesIn)
    .flatMap((path) => withdrawnIn(readFileSync(path, "utf8")).map((fault) => `${path}:${fault}`));
  for (const fault of faults) console.error(fault);
  process.exitCode = faults.length > 0 ? 1 : 0;
}
