/** What a node of the replicated log retains in memory. */
import type { ReplicatedLog } from "../consensus/replicated-log.js";
import type { AcceptedConfig } from "../state/accepted-config.js";

/** What a node retains in memory of the log and its state. */
export interface RetainedLog {
  /** Configurations with their texts, the active one included. */
  readonly configs: number;
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
  readonly stateMachine: { readonly configs: readonly AcceptedConfig[] };
  readonly writer: { readonly queuedRequests: number };
  readonly events: { readonly size: number };
}

/** The total length of the texts of log entries or configurations. */
export const totalTextLength = (items: ReadonlyArray<{ readonly text: string }>): number =>
  items.reduce((sum, { text }) => sum + text.length, 0);

/** Counts what a node retains. */
export const measureRetainedLog = ({
  log,
  stateMachine: { configs },
  writer,
  events,
}: RetainingParts): RetainedLog => {
  const entries = log.entriesFrom(log.baseIndex + 1);
  return {
    configs: configs.length,
    configChars: totalTextLength(configs),
    entries: entries.length,
    entryChars: totalTextLength(entries),
    queuedWrites: writer.queuedRequests,
    queuedEvents: events.size,
  };
};
