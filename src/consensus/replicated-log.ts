/** The log that consensus decisions work on. */
import type { Entry } from "../rpc/rpc-method.js";

/**
 * An immutable log: the entries after a base index, up to which a snapshot covers the log. A log made by `withEntries` shares
 * the array of its origin, so that the cost depends only on the added entries. It copies the array only if entries were added
 * to the same origin before.
 */
export class ReplicatedLog {
  readonly baseIndex: number;
  readonly baseTerm: number;
  private readonly sharedEntries: Entry[];
  private readonly length: number;

  private constructor(baseIndex: number, baseTerm: number, sharedEntries: Entry[], length: number) {
    this.baseIndex = baseIndex;
    this.baseTerm = baseTerm;
    this.sharedEntries = sharedEntries;
    this.length = length;
  }

  /** Creates a log after a base; the first entry must have the index after the base. */
  static of(baseIndex: number, baseTerm: number, entries: readonly Entry[] = []): ReplicatedLog {
    return new ReplicatedLog(baseIndex, baseTerm, [...entries], entries.length);
  }

  get lastIndex(): number {
    return this.baseIndex + this.length;
  }

  get lastTerm(): number {
    return this.termAt(this.lastIndex) ?? 0;
  }

  /** The entry at an index; `undefined` if the base covers the index or the log ends before it. */
  entryAt(index: number): Entry | undefined {
    return index <= this.lastIndex ? this.sharedEntries[index - this.baseIndex - 1] : undefined;
  }

  /** The term of the entry at an index or at the base; `undefined` for any other index. */
  termAt(index: number): number | undefined {
    return index === this.baseIndex ? this.baseTerm : this.entryAt(index)?.term;
  }

  /** The entries from an index on, at most `count`. */
  entriesFrom(index: number, count = Number.POSITIVE_INFINITY): Entry[] {
    const start = Math.max(0, index - this.baseIndex - 1);
    return this.sharedEntries.slice(start, Math.min(this.length, start + Math.max(0, count)));
  }

  /** A log with entries added at the end. */
  withEntries(entries: readonly Entry[]): ReplicatedLog {
    if (entries.length === 0) return this;
    const isNewest = this.sharedEntries.length === this.length;
    const sharedEntries = isNewest ? this.sharedEntries : this.sharedEntries.slice(0, this.length);
    for (const entry of entries) sharedEntries.push(entry);
    return new ReplicatedLog(this.baseIndex, this.baseTerm, sharedEntries, sharedEntries.length);
  }

  /** A log without the entries from an index on. */
  truncatedFrom(index: number): ReplicatedLog {
    const length = Math.min(this.length, Math.max(0, index - this.baseIndex - 1));
    return new ReplicatedLog(this.baseIndex, this.baseTerm, this.sharedEntries, length);
  }

  /** A log whose base is moved up to an index of this log. */
  compactedTo(index: number): ReplicatedLog {
    return ReplicatedLog.of(index, this.termAt(index) ?? 0, this.entriesFrom(index + 1));
  }
}
