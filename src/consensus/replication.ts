/** What a leader sends to a peer next, and how it tracks the peer's progress. */
import type { Entry } from "../rpc/rpc-method.js";
import type { AppendReply, AppendRequest } from "./append.js";
import type { ConsensusState, ElectionTimeouts } from "./state.js";

/** A leader's estimate of how far a peer's log matches its own. */
export interface Progress {
  /** The index of the next entry to send. */
  readonly next: number;
  /** Whether the peer has confirmed that it has all entries before `next`. */
  readonly isConfirmed: boolean;
}

/** The progress that a leader assumes for a peer that has not replied yet. */
export const initialProgress = ({ log }: ConsensusState): Progress => ({
  next: log.lastIndex,
  isConfirmed: false,
});

/** Whether a peer needs a snapshot, because compaction removed the next entry to send to it. */
export const needsSnapshot = ({ log }: ConsensusState, { next }: Progress): boolean =>
  next <= log.baseIndex;

/** The limit of one append request, which only a single larger entry may exceed. */
export interface BatchLimit {
  readonly entries: number;
  readonly bytes: number;
}

/** The number of leading entries that stay within a limit; at least one if there are any. */
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

/** The next request to a peer: entries if its log is confirmed to match, otherwise a heartbeat that probes the match. */
export const appendRequestFor = (
  state: ConsensusState,
  { next, isConfirmed }: Progress,
  limit: BatchLimit,
): AppendRequest => {
  const available = isConfirmed ? state.log.entriesFrom(next, limit.entries) : [];
  return {
    term: state.term,
    leader: state.self,
    previousIndex: next - 1,
    previousTerm: state.log.termAt(next - 1) ?? 0,
    committed: state.committedIndex,
    entries: available.slice(0, countWithinLimit(available, limit)),
  };
};

/** The throughput of the slowest link that timeouts allow for. */
const SLOW_LINK_BYTES_PER_MS = 100;

/**
 * How long a leader waits for the reply to an append request before it retries, in ms: the timeout of a heartbeat, plus the
 * transfer time of the entries on a slow link. A request that timed out before it could arrive would be retried endlessly.
 */
export const appendTimeoutMs = (
  { entries }: AppendRequest,
  { electionMinMs }: Pick<ElectionTimeouts, "electionMinMs">,
): number => {
  const sentBytes = entries.reduce((bytes, { text }) => bytes + text.length, 0);
  return electionMinMs + sentBytes / SLOW_LINK_BYTES_PER_MS;
};

/** A peer's progress after a reply in the leader's own term. */
export const progressAfter = ({ next }: Progress, { fits, matched }: AppendReply): Progress => ({
  isConfirmed: fits,
  next: fits ? Math.max(next, matched + 1) : Math.max(0, Math.min(next - 1, matched + 1)),
});
