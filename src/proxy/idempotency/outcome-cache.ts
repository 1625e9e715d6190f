/** The outcomes of keyed requests that a daemon stores in memory. */
import type { Clock } from "../../runtime/clock.js";
import type { KeyedOutcome, KeyedRequest } from "./keyed-outcome.js";

interface CacheEntry {
  readonly outcome: KeyedOutcome;
  readonly sizeBytes: number;
  readonly storedMs: number;
}

/** How many bytes of outcomes one daemon stores at most; beyond that the oldest are evicted. */
export const OUTCOME_CACHE_BYTES = 8 * 1024 * 1024;
/** About what an entry takes beside its body and headers. */
const ENTRY_OVERHEAD_BYTES = 200;

const computeSizeBytes = (outcome: KeyedOutcome): number => {
  if (outcome.kind !== "ran") return ENTRY_OVERHEAD_BYTES;
  const { headers, body } = outcome.response;
  let sizeBytes = ENTRY_OVERHEAD_BYTES + body.length;
  for (const name in headers) sizeBytes += name.length + (headers[name]?.length ?? 0);
  return sizeBytes;
};

const entryKey = ({ scope, requestId }: KeyedRequest): string => `${scope} ${requestId}`;

/** Stores outcomes for as long as their keys are claimed, and within a bound of bytes. */
export class OutcomeCache {
  private readonly clock: Clock;
  private readonly retentionMs: number;
  private readonly maxBytes: number;
  /** By scope and request, the oldest first. */
  private readonly entries = new Map<string, CacheEntry>();
  private totalBytes = 0;

  constructor(clock: Clock, retentionMs: number, maxBytes = OUTCOME_CACHE_BYTES) {
    this.clock = clock;
    this.retentionMs = retentionMs;
    this.maxBytes = maxBytes;
  }

  /** How many bytes are stored now. */
  get storedBytes(): number {
    return this.totalBytes;
  }

  /** Stores an outcome in place of an earlier one of the same request, and evicts what is too old or too much. */
  store(request: KeyedRequest, outcome: KeyedOutcome): void {
    const key = entryKey(request);
    this.remove(key);
    const totalBytes = computeSizeBytes(outcome);
    this.entries.set(key, { outcome, sizeBytes: totalBytes, storedMs: this.clock.nowMs() });
    this.totalBytes += totalBytes;
    const oldestMs = this.clock.nowMs() - this.retentionMs;
    for (const [oldestKey, { storedMs }] of this.entries) {
      if (this.totalBytes <= this.maxBytes && storedMs >= oldestMs) return;
      this.remove(oldestKey);
    }
  }

  /** The stored outcome of a request. */
  find(request: KeyedRequest): KeyedOutcome | undefined {
    return this.entries.get(entryKey(request))?.outcome;
  }

  private remove(key: string): void {
    this.totalBytes -= this.entries.get(key)?.sizeBytes ?? 0;
    this.entries.delete(key);
  }
}
