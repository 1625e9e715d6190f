import { readFileSync } from "node:fs";
import { expect, test } from "vitest";
import { replay } from "../../src/model-checker/search-run.js";
import { settingsFor } from "../../src/model-checker/random-search.js";
import { parseSteps } from "../../src/model-checker/step.js";

/** Counterexamples that the explorer found under production's rules, with the seed of the group. */
const counterexamples: ReadonlyArray<readonly [file: string, seed: number]> = [
  ["one-term-behind", 309],
];

test.each(counterexamples)("a fixed counterexample violates no invariant: %s", (file, seed) => {
  const text = readFileSync(`test/model-checker/traces/${file}.steps`, "utf8");
  expect(replay(settingsFor(seed, {}), parseSteps(text))?.message).toBeUndefined();
});
