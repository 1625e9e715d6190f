import { replay, type Counterexample } from "./search-run.js";
import type { Step } from "./step.js";

const withoutRange = (steps: readonly Step[], from: number, count: number): Step[] => [
  ...steps.slice(0, from),
  ...steps.slice(from + count),
];

/** Leaves out steps, many at once first, as long as the same promise is still broken. */
export const shrink = (found: Counterexample, mostReplays = 4000): Counterexample => {
  let smallest = found;
  let replays = 0;
  for (let size = Math.ceil(found.steps.length / 2); size >= 1; size = Math.floor(size / 2)) {
    let hasShrunk = true;
    while (hasShrunk && replays < mostReplays) {
      hasShrunk = false;
      for (let from = smallest.steps.length - size; from >= 0; from -= size) {
        replays += 1;
        if (replays >= mostReplays) break;
        const shorter = replay(found.settings, withoutRange(smallest.steps, from, size));
        if (shorter === undefined || shorter.invariant !== found.invariant) continue;
        smallest = shorter;
        hasShrunk = true;
      }
    }
  }
  return smallest;
};
