/** An in-memory cache of the outcomes of keyed requests. */
import type { Clock } from "../../runtime/clock.js";
import type { KeyedOutcome, KeyedRequest } from "./keyed-outcome.js";

interface CacheEntry {
  readonly outcome: KeyedOutcome;
  readonly sizeBytes: number;
  readonly storedMs: number;
}

/** Maximum size of a daemon's cache; beyond it the oldest outcomes are evicted. */
export const OUTCOME_CACHE_BYTES = 8 * 1024 * 1024;
/** Approximate size of an entry besides its body and headers. */
const ENTRY_OVERHEAD_BYTES = 200;

const computeSizeBytes = (outcome: KeyedOutcome): number => {
  if (outcome.kind !== "ran") return ENTRY_OVERHEAD_BYTES;
  const { headers, body } = outcome.response;
  let sizeBytes = ENTRY_OVERHEAD_BYTES + body.length;
  for (const name in headers) sizeBytes += name.length + (headers[name]?.length ?? 0);
  return sizeBytes;
};

const entryKey = ({ scope, requestId }: KeyedRequest): string => `${scope} ${requestId}`;

/** Stores outcomes as long as their keys are claimed, up to a maximum total size. */
export class OutcomeCache {
  private readonly clock: Clock;
  private readonly retentionMs: number;
  private readonly maxBytes: number;
  /** Entries by scope and request id, the oldest first. */
  private readonly entries = new Map<string, CacheEntry>();
  private totalBytes = 0;

  constructor(clock: Clock, retentionMs: number, maxBytes = OUTCOME_CACHE_BYTES) {
    this.clock = clock;
    this.retentionMs = retentionMs;
    this.maxBytes = maxBytes;
  }

  /** The current total size. */
  get storedBytes(): number {
    return this.totalBytes;
  }

  /**
   * Stores an outcome, replacing an earlier one of the same request. Evicts expired entries, and the oldest ones above
   * the maximum size.
   */
  store(request: KeyedRequest, outcome: KeyedOutcome): void {
    const key = entryKey(request);
    this.remove(key);
    const sizeBytes = computeSizeBytes(outcome);
    this.entries.set(key, { outcome, sizeBytes, storedMs: this.clock.nowMs() });
    this.totalBytes += sizeBytes;
    const oldestMs = this.clock.nowMs() - this.retentionMs;
    for (const [oldestKey, { storedMs }] of this.entries) {
      if (this.totalBytes <= this.maxBytes && storedMs >= oldestMs) return;
      this.remove(oldestKey);
    }
  }

  /** Returns the stored outcome of a request, if any. */
  find(request: KeyedRequest): KeyedOutcome | undefined {
    return this.entries.get(entryKey(request))?.outcome;
  }

  private remove(key: string): void {
    this.totalBytes -= this.entries.get(key)?.sizeBytes ?? 0;
    this.entries.delete(key);
  }
}
