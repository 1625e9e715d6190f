/**
 * One change of a member's durable state. Records are written in order: an entry is appended to the log; a term begins, with a
 * vote for the candidate that `text` names or an empty text for no vote; or the log is truncated from `index` on.
 */
export type LogRecord =
  | { kind: "entry"; term: number; index: number; text: string }
  | { kind: "vote"; term: number; text: string }
  | { kind: "truncate"; index: number };
