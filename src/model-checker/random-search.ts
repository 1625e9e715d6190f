/** Random search: runs of random steps on groups of different sizes. */
import type { SafetyRules } from "../consensus/safety-rules.js";
import type { ElectionTimeouts } from "../consensus/state.js";
import { runRandomly, type Counterexample } from "./search-run.js";
import { type GroupSettings, createGroupSettings } from "./group-settings.js";

/** The deviations from production's rules and timeouts; empty for production itself. */
export interface RuleOverride {
  readonly rules?: Partial<SafetyRules>;
  readonly timeouts?: Partial<ElectionTimeouts>;
}

/** The limits of a random search. */
export interface SearchLimits {
  readonly firstSeed: number;
  readonly maxSteps: number;
  readonly stepsPerRun: number;
}

/** The result of a random search. */
export interface SearchResult {
  readonly steps: number;
  readonly runs: number;
  /** The seed of the run that violated an invariant. */
  readonly seed: number | undefined;
  readonly counterexample: Counterexample | undefined;
}

/** The settings of the group for a seed: three or five voters, one or two learners. */
export const settingsFor = (seed: number, ruleOverride: RuleOverride): GroupSettings =>
  createGroupSettings(seed % 3 === 2 ? 5 : 3, 1 + (seed % 2), seed, ruleOverride);

/** Executes runs of fixed length with consecutive seeds until one violates an invariant or `maxSteps` is reached. */
export const exploreRandomly = (
  limits: SearchLimits,
  ruleOverride: RuleOverride = {},
): SearchResult => {
  let steps = 0;
  let seed = limits.firstSeed;
  for (; steps < limits.maxSteps; seed += 1) {
    const counterexample = runRandomly(settingsFor(seed, ruleOverride), seed, limits.stepsPerRun);
    steps += counterexample?.steps.length ?? limits.stepsPerRun;
    if (counterexample !== undefined)
      return { steps, runs: seed - limits.firstSeed + 1, seed, counterexample };
  }
  return { steps, runs: seed - limits.firstSeed, seed: undefined, counterexample: undefined };
};
