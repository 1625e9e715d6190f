import { expect, test } from "vitest";
import { exploreRandomly } from "../../src/model-checker/random-search.js";
import { mutants } from "../../src/model-checker/mutants.js";

const stepsPerRun = 1000;
const staleRead = "no read older than an acknowledged change";

test("twenty thousand random steps on production's rules break no promise", () => {
  const found = exploreRandomly({ firstSeed: 1, maxSteps: 20_000, stepsPerRun });
  expect(found.counterexample?.message).toBeUndefined();
  expect(found.steps).toBe(20_000);
});

/** Where the search by `npm run explore -- --mutants` meets each mutant first: the seed, and the promise it breaks. */
const detections: ReadonlyArray<readonly [name: string, seed: number, promise: string]> = [
  ["several votes in a term", 4, "one leader a term"],
  ["a vote for a candidate with an older log", 10, "what is committed stays"],
  ["a vote while a leader is heard", 460, staleRead],
  ["the lease counts from the answer, not from the sending", 1284, staleRead],
  ["a vote while rejoining", 3, "what is committed stays"],
  ["requests of older terms are taken", 34, "what is committed stays"],
  ["entries are taken without the check of the term before them", 3, "what is committed stays"],
  ["a conflicting tail stays", 3, "what is committed stays"],
  ["entries are acknowledged before they are on disk", 288, "what is committed stays"],
  ["learners count for a majority", 12, "what is committed stays"],
  ["members change while a change is uncommitted", 1, "majorities meet"],
  ["a new leader answers before an entry of its term", 3, staleRead],
  ["a lease longer than the election wait", 30, staleRead],
];

test.each(detections)("found: %s (seed %i)", (name, seed, promise) => {
  const mutant = mutants.find((one) => one.name === name);
  const extent = { firstSeed: seed, maxSteps: stepsPerRun, stepsPerRun };
  const found = exploreRandomly(extent, mutant?.ruleOverride);
  expect(found.counterexample?.invariant).toBe(promise);
  expect(exploreRandomly(extent).counterexample?.message).toBeUndefined();
});
