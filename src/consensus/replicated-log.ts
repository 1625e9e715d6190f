import type { Entry } from "../rpc/rpc-method.js";

/**
 * The log of a member: the entries after a base, which a snapshot covers. A value never changes. An addition shares the
 * array of the log that it was made from, so that adding costs what is added, and copies it only where another addition
 * was made from the same log before.
 */
export class ReplicatedLog {
  readonly baseIndex: number;
  readonly baseTerm: number;
  private readonly shared: Entry[];
  private readonly length: number;

  private constructor(baseIndex: number, baseTerm: number, shared: Entry[], length: number) {
    this.baseIndex = baseIndex;
    this.baseTerm = baseTerm;
    this.shared = shared;
    this.length = length;
  }

  /** A log after a base; the entries follow on it without a gap. */
  static of(baseIndex: number, baseTerm: number, entries: readonly Entry[] = []): ReplicatedLog {
    return new ReplicatedLog(baseIndex, baseTerm, [...entries], entries.length);
  }

  get lastIndex(): number {
    return this.baseIndex + this.length;
  }

  get lastTerm(): number {
    return this.termAt(this.lastIndex) ?? 0;
  }

  /** The entry at an index, unless the base covers it or the log is shorter. */
  entryAt(index: number): Entry | undefined {
    return index <= this.lastIndex ? this.shared[index - this.baseIndex - 1] : undefined;
  }

  /** The term of the entry at an index; known for the base too. */
  termAt(index: number): number | undefined {
    return index === this.baseIndex ? this.baseTerm : this.entryAt(index)?.term;
  }

  /** Entries from an index on, `count` of them at most. */
  entriesFrom(index: number, count = Number.POSITIVE_INFINITY): Entry[] {
    const start = Math.max(0, index - this.baseIndex - 1);
    return this.shared.slice(start, Math.min(this.length, start + Math.max(0, count)));
  }

  /** The log with entries added at its end. */
  withEntries(entries: readonly Entry[]): ReplicatedLog {
    if (entries.length === 0) return this;
    const isTip = this.shared.length === this.length;
    const shared = isTip ? this.shared : this.shared.slice(0, this.length);
    for (const entry of entries) shared.push(entry);
    return new ReplicatedLog(this.baseIndex, this.baseTerm, shared, shared.length);
  }

  /** The log up to an index, without that one. */
  truncatedFrom(index: number): ReplicatedLog {
    const length = Math.min(this.length, Math.max(0, index - this.baseIndex - 1));
    return new ReplicatedLog(this.baseIndex, this.baseTerm, this.shared, length);
  }

  /** The log with its base moved up to an index that is in it. */
  compactedTo(index: number): ReplicatedLog {
    return ReplicatedLog.of(index, this.termAt(index) ?? 0, this.entriesFrom(index + 1));
  }
}
