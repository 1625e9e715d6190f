/** Executes one run of a search, a random one or a replayed trace. */
import { InvariantViolation } from "./invariant-checks.js";
import { MemberGroup } from "./member-group.js";
import { recover } from "./recovery.js";
import { findContradiction } from "./history/linearizability.js";
import { RandomWalk } from "./random-walk.js";
import type { GroupSettings } from "./group-settings.js";
import type { Step } from "./step.js";

/** A run that violated an invariant: the settings of the group, the steps up to the violation, and the invariant. */
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
  run: () => void,
): Counterexample | undefined => {
  try {
    run();
    return undefined;
  } catch (error) {
    if (!(error instanceof InvariantViolation)) throw error;
    return { settings, steps, invariant: error.invariant, message: error.message };
  }
};

/** Replays a trace, then ends all failures and checks the history and the recovery. */
export const replay = (
  settings: GroupSettings,
  steps: readonly Step[],
): Counterexample | undefined => {
  const group = new MemberGroup(settings);
  const executed: Step[] = [];
  return catchViolation(settings, executed, () => {
    for (const step of steps) {
      executed.push(step);
      group.execute(step);
    }
    checkEnd(group);
  });
};

/** Executes one run of random steps, then ends all failures and checks the history and the recovery. */
export const runRandomly = (
  settings: GroupSettings,
  seed: number,
  stepCount: number,
): Counterexample | undefined => {
  const group = new MemberGroup(settings);
  const walk = new RandomWalk(seed);
  const steps: Step[] = [];
  return catchViolation(settings, steps, () => {
    while (steps.length < stepCount) {
      const step = walk.next(group);
      steps.push(step);
      group.execute(step);
    }
    checkEnd(group);
  });
};
