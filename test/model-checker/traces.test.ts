import { readFileSync } from "node:fs";
import { expect, test } from "vitest";
import { replay } from "../../src/model-checker/search-run.js";
import { settingsFor } from "../../src/model-checker/random-search.js";
import { parseSteps } from "../../src/model-checker/step.js";

/** Counterexamples that the explorer found in production's rules, and the seed of the group they were found in. */
const found: ReadonlyArray<readonly [file: string, seed: number]> = [["one-term-behind", 309]];

test.each(found)("a mended counterexample breaks no promise any more: %s", (file, seed) => {
  const text = readFileSync(`test/model-checker/traces/${file}.steps`, "utf8");
  expect(replay(settingsFor(seed, {}), parseSteps(text))?.message).toBeUndefined();
});
