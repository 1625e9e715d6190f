/**
 * Fails where a finished folder uses a withdrawn word, in code or in comments.
 *
 * `withdrawn-words.json` lists the words with what to write instead, the folders that are finished, and the words that
 * single files may use since they are the spelling of stored or transmitted data ("stored"). Words are found inside
 * identifiers too (`newContract`). Import paths, and names imported from folders that aren't finished, are passed over.
 */
import { readdirSync, readFileSync, statSync } from "node:fs";
import { join } from "node:path";

const { words, folders, stored } = JSON.parse(
  readFileSync(new URL("withdrawn-words.json", import.meta.url), "utf8"),
);
const importPath = /from "[^"]*"/g;

/** Names imported from other folders, which are the business of those folders. */
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

/** Matches a word by itself or as a part of an identifier in camel case. */
const patternOf = (word) => {
  const capital = word.replace(/(^|\|)([a-z])/g, (_, bar, letter) => bar + letter.toUpperCase());
  return new RegExp(`(?<![A-Za-z])(?:${word})(?![a-z])|(?<![A-Z])(?:${capital})(?![a-z])`, "g");
};

/** All uses of withdrawn words in a text, as `line: "word", better: …`; `allowed` lists the keys of words to pass over. */
export const withdrawnIn = (text, allowed = []) => {
  let plain = text.replace(importPath, "");
  for (const name of importedNames(text))
    plain = plain.replace(new RegExp(`\\b${name}\\b`, "g"), "");
  const checked = Object.entries(words).filter(([word]) => !allowed.includes(word));
  return plain
    .split("\n")
    .flatMap((line, index) =>
      checked.flatMap(([word, better]) =>
        [...line.matchAll(patternOf(word))].map(
          ([use]) => `${index + 1}: "${use}", better: ${better}`,
        ),
      ),
    );
};

if (process.argv[1]?.endsWith("check-words.mjs")) {
  const faults = folders
    .flatMap(filesIn)
    .flatMap((path) =>
      withdrawnIn(readFileSync(path, "utf8"), stored[path]).map((fault) => `${path}:${fault}`),
    );
  for (const fault of faults) console.error(fault);
  process.exitCode = faults.length > 0 ? 1 : 0;
}
