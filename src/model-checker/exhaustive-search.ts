/** Exhaustive search: tries all orders of steps up to a depth. */
import { InvariantViolation } from "./invariant-checks.js";
import type { RuleOverride } from "./random-search.js";
import { MemberGroup } from "./member-group.js";
import type { Counterexample } from "./search-run.js";
import { type GroupSettings, createGroupSettings } from "./group-settings.js";
import type { Step } from "./step.js";

/** The result of an exhaustive search. */
export interface Coverage {
  /** The number of steps that were tried. */
  readonly steps: number;
  /** The number of distinct states of the group that were reached. */
  readonly states: number;
  /** The number of steps up to which all orders were tried. */
  readonly depth: number;
  readonly counterexample: Counterexample | undefined;
}

/** A state of the group, with the steps that led to it. */
interface SearchNode {
  readonly group: MemberGroup;
  readonly steps: readonly Step[];
  /** The number of crashes and lost disks among the steps. */
  readonly failures: number;
}

const tickMs = 100;
const maxFailures = 2;

/**
 * All steps that are possible next: time advances, a message is delivered, a write reaches the disk, a client writes, or a
 * member crashes, loses its disk or starts.
 */
const possibleSteps = ({ group, failures }: SearchNode): Step[] => {
  const steps: Step[] = [{ kind: "advance", ms: tickMs, paused: [] }];
  for (const { id, from, to } of group.messages.values())
    if (!group.blockedLinks.has(`${from}>${to}`))
      steps.push({ kind: "deliver", message: id, twice: false });
  for (const { name, isUp, disk, state } of group.members.values()) {
    if (!isUp) steps.push({ kind: "start", member: name });
    else if (failures < maxFailures) steps.push({ kind: "crash", member: name, keptWrites: 0 });
    if (isUp && failures < maxFailures && group.mayWipe(name))
      steps.push({ kind: "wipe", member: name });
    if (disk.pending.length > 0) steps.push({ kind: "sync", member: name });
    if (isUp && state.role === "leader") steps.push({ kind: "write", member: name });
  }
  return steps;
};

/** Creates a group with a leader and one acknowledged entry. */
const createInitialNode = (settings: GroupSettings): SearchNode => {
  const group = new MemberGroup(settings);
  const steps: Step[] = [];
  const execute = (step: Step): void => {
    steps.push(step);
    group.execute(step);
  };
  while (group.checks.acknowledgedIndex === 0) {
    execute({ kind: "advance", ms: 20, paused: [] });
    for (const { name, disk } of group.members.values())
      while (disk.pending.length > 0) execute({ kind: "sync", member: name });
    for (const id of [...group.messages.keys()])
      execute({ kind: "deliver", message: id, twice: false });
  }
  return { group, steps, failures: 0 };
};

/**
 * Tries all orders of steps up to a depth, from a group of three members with a leader. Each distinct state is expanded once.
 * Stops after `maxSteps` steps or at the first violation.
 */
export const exploreAll = (
  depth: number,
  maxSteps: number,
  ruleOverride: RuleOverride = {},
): Coverage => {
  const settings = createGroupSettings(3, 0, 1, ruleOverride);
  const visited = new Set<string>();
  let frontier: SearchNode[] = [createInitialNode(settings)];
  let steps = 0;
  for (let level = 0; level < depth; level += 1) {
    const next: SearchNode[] = [];
    for (const node of frontier)
      for (const step of possibleSteps(node)) {
        steps += 1;
        if (steps > maxSteps)
          return { steps, states: visited.size, depth: level, counterexample: undefined };
        const group = node.group.clone();
        const path = [...node.steps, step];
        try {
          group.execute(step);
        } catch (error) {
          if (!(error instanceof InvariantViolation)) throw error;
          const { invariant, message } = error;
          const counterexample = { settings, steps: path, invariant, message };
          return { steps, states: visited.size, depth: level, counterexample };
        }
        const { fingerprint } = group;
        if (visited.has(fingerprint)) continue;
        visited.add(fingerprint);
        const isFailure = step.kind === "crash" || step.kind === "wipe";
        next.push({ group, steps: path, failures: node.failures + (isFailure ? 1 : 0) });
      }
    frontier = next;
  }
  return { steps, states: visited.size, depth, counterexample: undefined };
};
