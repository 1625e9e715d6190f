/** Shrinks counterexamples. */
import { replay, type Counterexample } from "./search-run.js";
import type { Step } from "./step.js";

const withoutRange = (steps: readonly Step[], from: number, count: number): Step[] => [
  ...steps.slice(0, from),
  ...steps.slice(from + count),
];

/** Removes steps, in ranges of decreasing size, as long as the same invariant is violated. Replays at most `maxReplays` times. */
export const shrink = (counterexample: Counterexample, maxReplays = 4000): Counterexample => {
  let smallest = counterexample;
  let replays = 0;
  for (
    let size = Math.ceil(counterexample.steps.length / 2);
    size >= 1;
    size = Math.floor(size / 2)
  ) {
    let hasShrunk = true;
    while (hasShrunk && replays < maxReplays) {
      hasShrunk = false;
      for (let from = smallest.steps.length - size; from >= 0; from -= size) {
        replays += 1;
        if (replays >= maxReplays) break;
        const shorter = replay(counterexample.settings, withoutRange(smallest.steps, from, size));
        if (shorter === undefined || shorter.invariant !== counterexample.invariant) continue;
        smallest = shorter;
        hasShrunk = true;
      }
    }
  }
  return smallest;
};
