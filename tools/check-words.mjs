/**
 * Fails if a checked folder uses a withdrawn word in code or in comments.
 *
 * `withdrawn-words.json` lists the words with their replacements ("words"), the checked folders ("folders"), and the words that
 * single files may use because stored or transmitted data is spelled so ("stored"). Words inside identifiers are found too
 * (`newContract`). Import paths and names imported from other folders are ignored.
 */
import { readdirSync, readFileSync, statSync } from "node:fs";
import { join } from "node:path";

const { words, folders, stored } = JSON.parse(
  readFileSync(new URL("withdrawn-words.json", import.meta.url), "utf8"),
);
const importPath = /from "[^"]*"/g;

/** Names imported from other folders; they are checked where they are declared. */
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

/** A pattern that matches a word by itself or as a part of an identifier in camel case. */
const wordPattern = (word) => {
  const capital = word.replace(/(^|\|)([a-z])/g, (_, bar, letter) => bar + letter.toUpperCase());
  return new RegExp(`(?<![A-Za-z])(?:${word})(?![a-z])|(?<![A-Z])(?:${capital})(?![a-z])`, "g");
};

/** All uses of withdrawn words in a text, as `line: "word", better: …`; the words whose keys are in `allowed` are ignored. */
export const findWithdrawnWords = (text, allowed = []) => {
  let checkedText = text.replace(importPath, "");
  for (const name of importedNames(text))
    checkedText = checkedText.replace(new RegExp(`\\b${name}\\b`, "g"), "");
  const checked = Object.entries(words).filter(([word]) => !allowed.includes(word));
  return checkedText
    .split("\n")
    .flatMap((line, index) =>
      checked.flatMap(([word, replacement]) =>
        [...line.matchAll(wordPattern(word))].map(
          ([use]) => `${index + 1}: "${use}", better: ${replacement}`,
        ),
      ),
    );
};

if (process.argv[1]?.endsWith("check-words.mjs")) {
  const violations = folders
    .flatMap(filesIn)
    .flatMap((path) =>
      findWithdrawnWords(readFileSync(path, "utf8"), stored[path]).map(
        (violation) => `${path}:${violation}`,
      ),
    );
  for (const violation of violations) console.error(violation);
  process.exitCode = violations.length > 0 ? 1 : 0;
}
