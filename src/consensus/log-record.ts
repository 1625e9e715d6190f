/**
 * One change of a member's durable state, in the order in which it is written: an entry appended to the log, a term begun
 * with a vote (`text` names the candidate, empty for none), or the log truncated from `index` on.
 */
export type LogRecord =
  | { kind: "entry"; term: number; index: number; text: string }
  | { kind: "vote"; term: number; text: string }
  | { kind: "truncate"; index: number };
