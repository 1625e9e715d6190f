import { MemberGroup } from "./member-group.js";
import { InvariantViolation } from "./invariant-checks.js";
import type { Message } from "./message.js";
import type { Counterexample } from "./search-run.js";
import { formatSteps, type Step } from "./step.js";

const describeMessage = ({ body }: Message): string => {
  if (body.direction === "reply")
    return `${body.reply.kind} reply ${JSON.stringify(body.reply.reply)}`;
  const { request } = body;
  switch (request.kind) {
    case "vote":
      return `${request.request.isPreVote ? "pre-vote" : "vote"} request ${JSON.stringify(request.request)}`;
    case "append":
    case "snapshot":
      return `${request.kind} request ${JSON.stringify(request.request)}`;
    default:
      return JSON.stringify(request);
  }
};

const describeStep = (group: MemberGroup, step: Step): string => {
  switch (step.kind) {
    case "advance": {
      const paused = step.paused.length > 0 ? `, ${step.paused.join(" and ")} paused` : "";
      return `${step.ms} ms pass${paused}`;
    }
    case "deliver":
    case "lose": {
      const message = group.messages.get(step.message);
      if (message === undefined) return `${step.message} is gone already`;
      const what =
        step.kind === "lose" ? "is lost" : step.twice ? "arrives, a copy stays" : "arrives";
      return `${message.from} to ${message.to}: ${describeMessage(message)} ${what}`;
    }
    case "sync":
      return `${step.member}: its oldest write is on disk`;
    case "crash":
      return `${step.member} stops; ${step.keptWrites} of its unsynced writes are on disk`;
    case "wipe":
      return `${step.member} stops and its disk is lost`;
    case "start":
      return `${step.member} starts`;
    case "cut":
      return `nothing gets from ${step.from} to ${step.to} any more`;
    case "mend":
      return `messages get from ${step.from} to ${step.to} again`;
    case "write":
      return `${step.member} is told to write`;
    case "read":
      return `${step.member} is asked to read`;
    case "handOver":
      return `${step.member} is told to hand over`;
    case "compact":
      return `${step.member} writes a snapshot`;
    case "demote":
      return `${step.member} is to demote ${step.voter}`;
    case "promote":
      return `${step.member} is to promote ${step.learner}`;
  }
};

const describeStates = (group: MemberGroup): string =>
  [...group.members.values()]
    .map(({ name, isUp, state }) => {
      const { role, term, log, committedIndex } = state;
      return isUp
        ? `${name}:${role} t${term} log${log.lastIndex} c${committedIndex}`
        : `${name}:down`;
    })
    .join("  ");

/** A counterexample for a person: what happened, step by step, and how each member stood then. */
export const formatTrace = ({ settings, steps, message: how }: Counterexample): string => {
  const group = new MemberGroup(settings);
  const lines: string[] = [];
  for (const [at, step] of steps.entries()) {
    lines.push(`${at + 1}. ${describeStep(group, step)}`);
    try {
      group.execute(step);
    } catch (error) {
      if (!(error instanceof InvariantViolation)) throw error;
    }
    lines.push(`     ${describeStates(group)}`);
  }
  return [...lines, how].join("\n");
};

/** A counterexample as a file that can be played again: what a person reads as comments, then the steps. */
export const formatTraceFile = (found: Counterexample): string =>
  [
    ...formatTrace(found)
      .split("\n")
      .map((line) => `# ${line}`),
    formatSteps(found.steps),
    "",
  ].join("\n");
