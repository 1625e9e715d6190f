import { expect, test } from "vitest";
import { exploreAll } from "../../src/model-checker/exhaustive-search.js";

test("all orders of six steps after an election, with two stops or a lost disk, break no promise", () => {
  const { counterexample, depth, states: situations } = exploreAll(6, 100_000);
  expect(counterexample?.message).toBeUndefined();
  expect(depth).toBe(6);
  expect(situations).toBeGreaterThan(5000);
});
