/** Formats counterexamples as traces. */
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
      if (message === undefined) return `${step.message} is not in flight`;
      const outcome =
        step.kind === "lose" ? "is lost" : step.twice ? "arrives and stays in flight" : "arrives";
      return `${message.from} to ${message.to}: ${describeMessage(message)} ${outcome}`;
    }
    case "sync":
      return `${step.member} syncs its oldest write`;
    case "crash":
      return `${step.member} stops; ${step.keptWrites} of its unsynced writes are on disk`;
    case "wipe":
      return `${step.member} stops and its disk is lost`;
    case "start":
      return `${step.member} starts`;
    case "cut":
      return `the link from ${step.from} to ${step.to} is blocked`;
    case "mend":
      return `the link from ${step.from} to ${step.to} is open again`;
    case "write":
      return `${step.member} receives a write`;
    case "read":
      return `${step.member} receives a read`;
    case "handOver":
      return `${step.member} is requested to transfer its leadership`;
    case "compact":
      return `${step.member} writes a snapshot`;
    case "demote":
      return `${step.member} is requested to demote ${step.voter}`;
    case "promote":
      return `${step.member} is requested to promote ${step.learner}`;
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

/** Formats a counterexample for a reader: each step, the state of each member after it, and the violation. */
export const formatTrace = ({ settings, steps, message: violation }: Counterexample): string => {
  const group = new MemberGroup(settings);
  const lines: string[] = [];
  for (const [index, step] of steps.entries()) {
    lines.push(`${index + 1}. ${describeStep(group, step)}`);
    try {
      group.execute(step);
    } catch (error) {
      if (!(error instanceof InvariantViolation)) throw error;
    }
    lines.push(`     ${describeStates(group)}`);
  }
  return [...lines, violation].join("\n");
};

/** Formats a counterexample as a file that can be replayed: the formatted trace as comments, then the steps. */
export const formatTraceFile = (counterexample: Counterexample): string =>
  [
    ...formatTrace(counterexample)
      .split("\n")
      .map((line) => `# ${line}`),
    formatSteps(counterexample.steps),
    "",
  ].join("\n");
