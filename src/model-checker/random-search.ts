import type { SafetyRules } from "../consensus/safety-rules.js";
import type { ElectionTimeouts } from "../consensus/state.js";
import { runRandomly, type Counterexample } from "./search-run.js";
import { type GroupSettings, createGroupSettings } from "./group-settings.js";

/** What is changed of production's rules and waits; nothing for production itself. */
export interface RuleOverride {
  readonly rules?: Partial<SafetyRules>;
  readonly timeouts?: Partial<ElectionTimeouts>;
}

/** How far to explore at random. */
export interface SearchLimits {
  readonly firstSeed: number;
  readonly maxSteps: number;
  readonly stepsPerRun: number;
}

/** What an exploration found. */
export interface SearchResult {
  readonly steps: number;
  readonly runs: number;
  /** The seed of the run that broke a promise. */
  readonly seed: number | undefined;
  readonly counterexample: Counterexample | undefined;
}

/** The group of a seed: three to five members, one or two spares. */
export const settingsFor = (seed: number, alteration: RuleOverride): GroupSettings =>
  createGroupSettings(seed % 3 === 2 ? 5 : 3, 1 + (seed % 2), seed, alteration);

/** Runs of fixed length, seed after seed, until one breaks a promise or the steps are used up. */
export const exploreRandomly = (
  extent: SearchLimits,
  alteration: RuleOverride = {},
): SearchResult => {
  let steps = 0;
  let seed = extent.firstSeed;
  for (; steps < extent.maxSteps; seed += 1) {
    const counterexample = runRandomly(settingsFor(seed, alteration), seed, extent.stepsPerRun);
    steps += counterexample?.steps.length ?? extent.stepsPerRun;
    if (counterexample !== undefined)
      return { steps, runs: seed - extent.firstSeed + 1, seed, counterexample };
  }
  return { steps, runs: seed - extent.firstSeed, seed: undefined, counterexample: undefined };
};
