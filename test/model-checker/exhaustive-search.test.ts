import { expect, test } from "vitest";
import { exploreAll } from "../../src/model-checker/exhaustive-search.js";

test("all orders of six steps after an election, with up to two crashes or one lost disk, violate no invariant", () => {
  const { counterexample, depth, states } = exploreAll(6, 100_000);
  expect(counterexample?.message).toBeUndefined();
  expect(depth).toBe(6);
  expect(states).toBeGreaterThan(5000);
});
