import { expect, test } from "vitest";
import { exploreRandomly } from "../../src/model-checker/random-search.js";
import { mutants } from "../../src/model-checker/mutants.js";

const stepsPerRun = 1000;
const staleRead = "no read older than an acknowledged change";

test("twenty thousand random steps under production's rules violate no invariant", () => {
  const found = exploreRandomly({ firstSeed: 1, maxSteps: 20_000, stepsPerRun });
  expect(found.counterexample?.message).toBeUndefined();
  expect(found.steps).toBe(20_000);
});

/** The first seed with which `npm run explore -- --mutants` detects each mutant, and the invariant that the mutant violates. */
const detections: ReadonlyArray<readonly [name: string, seed: number, invariant: string]> = [
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

test.each(detections)("the search detects the mutant: %s (seed %i)", (name, seed, invariant) => {
  const mutant = mutants.find((candidate) => candidate.name === name);
  const extent = { firstSeed: seed, maxSteps: stepsPerRun, stepsPerRun };
  const found = exploreRandomly(extent, mutant?.ruleOverride);
  expect(found.counterexample?.invariant).toBe(invariant);
  expect(exploreRandomly(extent).counterexample?.message).toBeUndefined();
});
