/** A bounded buffer of the last changes of a table, so that updates can be sent in place of the whole table. */

/** What a buffered change weighs beside the keys of its items. */
const CHANGE_OVERHEAD_BYTES = 64;

/** How much the changes of a table may weigh by default; beyond that the oldest are dropped. */
export const DEFAULT_MAX_CHANGE_BYTES = 1024 * 1024;

interface Change {
  readonly sequence: number;
  readonly keys: readonly string[];
  readonly sizeBytes: number;
}

/** The keys of the items that the last changes of a table touched, by the table's sequence. */
export class ChangeBuffer {
  private changes: Change[] = [];
  /** The sequence of the table before the oldest buffered change. */
  private baseSequence: number;
  private sizeBytes = 0;
  private readonly maxBytes: number;

  /** Begins with a table as it is under `sequence`; buffers changes up to `maxBytes`. */
  constructor(sequence: number, maxBytes: number) {
    this.baseSequence = sequence;
    this.maxBytes = maxBytes;
  }

  /** Adds the keys of the items that changed when the table came to `sequence`; drops the oldest changes beyond the limit. */
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

  /** The keys of the items that may differ from the table under `sequence`; `undefined` where that is no longer known. */
  keysChangedSince(sequence: number): ReadonlySet<string> | undefined {
    const keys = new Set<string>();
    for (let index = this.changes.length - 1; index >= 0; index -= 1) {
      const change = this.changes[index];
      if (!change || change.sequence < sequence) return undefined;
      if (change.sequence === sequence) return keys;
      for (const key of change.keys) keys.add(key);
    }
    return this.baseSequence === sequence ? keys : undefined;
  }
}
