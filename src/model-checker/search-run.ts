import { InvariantViolation } from "./invariant-checks.js";
import { MemberGroup } from "./member-group.js";
import { recover } from "./recovery.js";
import { findContradiction } from "./history/linearizability.js";
import { RandomWalk } from "./random-walk.js";
import type { GroupSettings } from "./group-settings.js";
import type { Step } from "./step.js";

/** A run that broke a promise: the group, the steps up to the breach, and which promise. */
export interface Counterexample {
  readonly settings: GroupSettings;
  readonly steps: readonly Step[];
  readonly invariant: string;
  readonly message: string;
}

const checkHistory = (group: MemberGroup): void => {
  const contradiction = findContradiction(group.history.operations, 0);
  if (contradiction !== undefined)
    throw new InvariantViolation(
      "linearizable",
      `${contradiction.reason}: ${JSON.stringify(contradiction.operations)}`,
    );
};

const checkEnd = (group: MemberGroup): void => {
  checkHistory(group);
  recover(group);
};

const catchViolation = (
  settings: GroupSettings,
  steps: readonly Step[],
  work: () => void,
): Counterexample | undefined => {
  try {
    work();
    return undefined;
  } catch (error) {
    if (!(error instanceof InvariantViolation)) throw error;
    return { settings, steps, invariant: error.invariant, message: error.message };
  }
};

/** Plays a trace, then ends all failures. */
export const replay = (
  settings: GroupSettings,
  steps: readonly Step[],
): Counterexample | undefined => {
  const group = new MemberGroup(settings);
  const played: Step[] = [];
  return catchViolation(settings, played, () => {
    for (const step of steps) {
      played.push(step);
      group.execute(step);
    }
    checkEnd(group);
  });
};

/** One random run of some steps. */
export const runRandomly = (
  settings: GroupSettings,
  seed: number,
  length: number,
): Counterexample | undefined => {
  const group = new MemberGroup(settings);
  const walk = new RandomWalk(seed);
  const steps: Step[] = [];
  return catchViolation(settings, steps, () => {
    while (steps.length < length) {
      const step = walk.next(group);
      steps.push(step);
      group.execute(step);
    }
    checkEnd(group);
  });
};
