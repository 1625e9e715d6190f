/** What a leader sends another member next. */
import type { Entry } from "../rpc/rpc-method.js";
import type { AppendReply, AppendRequest } from "./append.js";
import type { ConsensusState, ElectionTimeouts } from "./state.js";

/** What a leader knows about where another member's log meets its own. */
export interface Progress {
  /** The next entry to send. */
  readonly next: number;
  /** Whether the member is known to have all before it. */
  readonly isConfirmed: boolean;
}

/** Where a leader begins with a member it knows nothing about. */
export const initialProgress = ({ log }: ConsensusState): Progress => ({
  next: log.lastIndex,
  isConfirmed: false,
});

/** Whether a member is so far behind that the log doesn't reach back to it. */
export const needsSnapshot = ({ log }: ConsensusState, { next }: Progress): boolean =>
  next <= log.baseIndex;

/** What one request of entries carries at most, unless a single entry is larger. */
export interface BatchLimit {
  readonly entries: number;
  readonly bytes: number;
}

/** How many entries from the first on stay within a limit; at least one. */
export const countWithinLimit = (entries: Iterable<Entry>, limit: BatchLimit): number => {
  let count = 0;
  let totalBytes = 0;
  for (const { text } of entries) {
    totalBytes += text.length;
    if (count > 0 && (count >= limit.entries || totalBytes > limit.bytes)) break;
    count += 1;
  }
  return count;
};

/** The next request to a member: entries once their logs are known to match, else a heartbeat that finds out whether they do. */
export const appendRequestFor = (
  state: ConsensusState,
  { next, isConfirmed: isSure }: Progress,
  limit: BatchLimit,
): AppendRequest => {
  const following = isSure ? state.log.entriesFrom(next, limit.entries) : [];
  return {
    term: state.term,
    leader: state.self,
    previousIndex: next - 1,
    previousTerm: state.log.termAt(next - 1) ?? 0,
    committed: state.committedIndex,
    entries: following.slice(0, countWithinLimit(following, limit)),
  };
};

/** The rate of the slowest link for which timeouts are made. */
const SLOW_LINK_BYTES_PER_MS = 100;

/**
 * How long a leader waits for the reply to a request before it retries: a heartbeat's timeout, and the time of the entries on a
 * slow link. A request that times out before it can arrive would be retried forever.
 */
export const appendTimeoutMs = (
  { entries }: AppendRequest,
  { electionMinMs }: Pick<ElectionTimeouts, "electionMinMs">,
): number => {
  const sentBytes = entries.reduce((bytes, { text }) => bytes + text.length, 0);
  return electionMinMs + sentBytes / SLOW_LINK_BYTES_PER_MS;
};

/** What a leader knows after a reply of its own term. */
export const progressAfter = ({ next }: Progress, { fits, matched }: AppendReply): Progress => ({
  isConfirmed: fits,
  next: fits ? Math.max(next, matched + 1) : Math.max(0, Math.min(next - 1, matched + 1)),
});
