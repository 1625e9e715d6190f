import { expect, test } from "vitest";
import { exploreRandomly } from "../../src/model-checker/random-search.js";
import { mutants } from "../../src/model-checker/mutants.js";

const stepsPerRun = 1000;
const staleRead = "no stale reads";

test("twenty thousand random steps under production's rules violate no invariant", () => {
  const found = exploreRandomly({ firstSeed: 1, maxSteps: 20_000, stepsPerRun });
  expect(found.counterexample?.message).toBeUndefined();
  expect(found.steps).toBe(20_000);
});

/** The first seed with which `npm run explore -- --mutants` detects each mutant, and the invariant that the mutant violates. */
const detections: ReadonlyArray<readonly [name: string, seed: number, invariant: string]> = [
  ["more than one vote per term", 4, "one leader per term"],
  ["a vote for a candidate whose log is not up to date", 10, "committed entries are kept"],
  ["a vote while a leader is active", 460, staleRead],
  ["the lease starts at the reply instead of at the request", 1284, staleRead],
  ["a vote while rejoining", 3, "committed entries are kept"],
  ["requests of older terms are accepted", 34, "committed entries are kept"],
  ["entries are accepted without a check of the previous term", 3, "committed entries are kept"],
  ["a conflicting log suffix is kept", 3, "committed entries are kept"],
  ["entries are acknowledged before they are on disk", 288, "committed entries are kept"],
  ["learners count for a majority", 12, "committed entries are kept"],
  ["members change while a change is uncommitted", 1, "majorities overlap"],
  ["a new leader serves reads before an entry of its term is committed", 3, staleRead],
  ["a lease longer than the election timeout", 30, staleRead],
];

test.each(detections)("the search detects the mutant: %s (seed %i)", (name, seed, invariant) => {
  const mutant = mutants.find((candidate) => candidate.name === name);
  const extent = { firstSeed: seed, maxSteps: stepsPerRun, stepsPerRun };
  const found = exploreRandomly(extent, mutant?.ruleOverride);
  expect(found.counterexample?.invariant).toBe(invariant);
  expect(exploreRandomly(extent).counterexample?.message).toBeUndefined();
});
