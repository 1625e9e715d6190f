/** A bounded buffer of a table's recent changes, which lets the leader send updates instead of the whole table. */

/** Estimated memory of a buffered change, without the keys of its items. */
const CHANGE_OVERHEAD_BYTES = 64;

/** Default limit of the buffered changes of a table; the oldest changes beyond it are dropped. */
export const DEFAULT_MAX_CHANGE_BYTES = 1024 * 1024;

interface Change {
  readonly sequence: number;
  readonly keys: readonly string[];
  readonly sizeBytes: number;
}

/** The keys of the items that recent changes of a table affected, by the table's sequence after the change. */
export class ChangeBuffer {
  private changes: Change[] = [];
  /** The table's sequence before the oldest buffered change. */
  private baseSequence: number;
  private sizeBytes = 0;
  private readonly maxBytes: number;

  /** Buffers the changes after `sequence`, up to `maxBytes`. */
  constructor(sequence: number, maxBytes: number) {
    this.baseSequence = sequence;
    this.maxBytes = maxBytes;
  }

  /** Adds the keys of the items that changed when the table reached `sequence`; drops the oldest changes beyond the limit. */
  record(sequence: number, keys: readonly string[]): void {
    const sizeBytes = keys.reduce((sum, key) => sum + key.length, CHANGE_OVERHEAD_BYTES);
    this.changes.push({ sequence, keys, sizeBytes });
    this.sizeBytes += sizeBytes;
    let dropped = 0;
    for (const change of this.changes) {
      if (this.sizeBytes <= this.maxBytes) break;
      this.sizeBytes -= change.sizeBytes;
      this.baseSequence = change.sequence;
      dropped += 1;
    }
    if (dropped > 0) this.changes = this.changes.slice(dropped);
  }

  /** The keys of the items that changed after `sequence`; `undefined` where the buffer doesn't reach back to it. */
  keysChangedSince(sequence: number): ReadonlySet<string> | undefined {
    const changedKeys = new Set<string>();
    for (let index = this.changes.length - 1; index >= 0; index -= 1) {
      const change = this.changes[index];
      if (!change || change.sequence < sequence) return undefined;
      if (change.sequence === sequence) return changedKeys;
      for (const key of change.keys) changedKeys.add(key);
    }
    return this.baseSequence === sequence ? changedKeys : undefined;
  }
}
