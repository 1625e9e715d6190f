import { InvariantViolation } from "./invariant-checks.js";
import type { RuleOverride } from "./random-search.js";
import { MemberGroup } from "./member-group.js";
import type { Counterexample } from "./search-run.js";
import { type GroupSettings, createGroupSettings } from "./group-settings.js";
import type { Step } from "./step.js";

/** What an exhaustive exploration saw. */
export interface Coverage {
  /** How many steps were tried. */
  readonly steps: number;
  /** How many situations differ. */
  readonly states: number;
  /** Up to which number of steps all orders were tried. */
  readonly depth: number;
  readonly counterexample: Counterexample | undefined;
}

interface SearchNode {
  readonly group: MemberGroup;
  readonly steps: readonly Step[];
  /** How many members have stopped on the way here. */
  readonly failures: number;
}

const tickMs = 100;
const maxFailures = 2;

/** Everything that may happen next: each message, each write, time, a client's write, a stop with or without the disk. */
const possibleSteps = ({ group, failures: stops }: SearchNode): Step[] => {
  const choices: Step[] = [{ kind: "advance", ms: tickMs, paused: [] }];
  for (const { id, from, to } of group.messages.values())
    if (!group.blockedLinks.has(`${from}>${to}`))
      choices.push({ kind: "deliver", message: id, twice: false });
  for (const { name, isUp, disk, state } of group.members.values()) {
    if (!isUp) choices.push({ kind: "start", member: name });
    else if (stops < maxFailures) choices.push({ kind: "crash", member: name, keptWrites: 0 });
    if (isUp && stops < maxFailures && group.mayWipe(name))
      choices.push({ kind: "wipe", member: name });
    if (disk.pending.length > 0) choices.push({ kind: "sync", member: name });
    if (isUp && state.role === "leader") choices.push({ kind: "write", member: name });
  }
  return choices;
};

/** A group that has a leader and one committed entry, with nothing under way. */
const createInitialNode = (settings: GroupSettings): SearchNode => {
  const group = new MemberGroup(settings);
  const steps: Step[] = [];
  const take = (step: Step): void => {
    steps.push(step);
    group.execute(step);
  };
  while (group.checks.acknowledgedIndex === 0) {
    take({ kind: "advance", ms: 20, paused: [] });
    for (const { name, disk } of group.members.values())
      while (disk.pending.length > 0) take({ kind: "sync", member: name });
    for (const id of [...group.messages.keys()])
      take({ kind: "deliver", message: id, twice: false });
  }
  return { group, steps, failures: 0 };
};

/** Tries all orders of steps up to a depth, once from each situation, from a settled group of three on. */
export const exploreAll = (
  depth: number,
  mostSteps: number,
  alteration: RuleOverride = {},
): Coverage => {
  const settings = createGroupSettings(3, 0, 1, alteration);
  const seen = new Set<string>();
  let frontier: SearchNode[] = [createInitialNode(settings)];
  let steps = 0;
  for (let level = 0; level < depth; level += 1) {
    const next: SearchNode[] = [];
    for (const place of frontier)
      for (const step of possibleSteps(place)) {
        steps += 1;
        if (steps > mostSteps)
          return { steps, states: seen.size, depth: level, counterexample: undefined };
        const group = place.group.clone();
        const taken = [...place.steps, step];
        try {
          group.execute(step);
        } catch (error) {
          if (!(error instanceof InvariantViolation)) throw error;
          const { invariant: promise, message: how } = error;
          const counterexample = { settings, steps: taken, promise, how };
          return { steps, states: seen.size, depth: level, counterexample };
        }
        const { fingerprint } = group;
        if (seen.has(fingerprint)) continue;
        seen.add(fingerprint);
        const isStop = step.kind === "crash" || step.kind === "wipe";
        next.push({ group, steps: taken, failures: place.failures + (isStop ? 1 : 0) });
      }
    frontier = next;
  }
  return { steps, states: seen.size, depth, counterexample: undefined };
};
