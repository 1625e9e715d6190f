/** What a node of the replicated log retains in memory. */
import type { ReplicatedLog } from "../consensus/replicated-log.js";
import type { ConfigBacklog } from "../state/config-backlog.js";

/** What a node retains in memory of the log and its state. */
export interface RetainedLog {
  /** Configurations that are not released yet, the active one included. */
  readonly configs: number;
  /** The length of their complete texts, most of which are retained as deltas. */
  readonly configChars: number;
  readonly entries: number;
  readonly entryChars: number;
  /** Writes that wait for the disk. */
  readonly queuedWrites: number;
  /** Events that wait to be processed. */
  readonly queuedEvents: number;
}

/** The parts of a node that retain something. */
export interface RetainingParts {
  readonly log: ReplicatedLog;
  readonly stateMachine: { readonly configBacklog: ConfigBacklog };
  readonly writer: { readonly queuedRequests: number };
  readonly events: { readonly size: number };
}

/** Counts what a node retains. */
export const measureRetainedLog = ({
  log,
  stateMachine: { configBacklog },
  writer,
  events,
}: RetainingParts): RetainedLog => {
  const entries = log.entriesFrom(log.baseIndex + 1);
  return {
    configs: configBacklog.size,
    configChars: configBacklog.textLength,
    entries: entries.length,
    entryChars: entries.reduce((sum, { text }) => sum + text.length, 0),
    queuedWrites: writer.queuedRequests,
    queuedEvents: events.size,
  };
};
