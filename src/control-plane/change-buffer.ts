/** What a kept change weighs beside the names of its items. */
const changeOverheadBytes = 64;

interface Change {
  readonly sequence: number;
  readonly keys: readonly string[];
  readonly bytes: number;
}

/** The names of the items that the last changes of a table touched, by the table's sequence; bounded by bytes. */
export class ChangeBuffer {
  private changes: Change[] = [];
  /** The sequence of the table before the oldest change that is kept. */
  private base: number;
  private keptBytes = 0;
  private readonly mostBytes: number;

  /** Begins with a table as it is under `sequence`. */
  constructor(sequence: number, mostBytes: number) {
    this.base = sequence;
    this.mostBytes = mostBytes;
  }

  /** Keeps which items changed when the table came to `sequence`; lets the oldest changes go beyond the bound. */
  note(sequence: number, keys: readonly string[]): void {
    const bytes = keys.reduce((sum, key) => sum + key.length, changeOverheadBytes);
    this.changes.push({ sequence, keys, bytes });
    this.keptBytes += bytes;
    let dropped = 0;
    for (const change of this.changes) {
      if (this.keptBytes <= this.mostBytes) break;
      this.keptBytes -= change.bytes;
      this.base = change.sequence;
      dropped += 1;
    }
    if (dropped > 0) this.changes = this.changes.slice(dropped);
  }

  /** The items that may differ from a table under `sequence`; `undefined` where that table isn't known any more. */
  since(sequence: number): ReadonlySet<string> | undefined {
    const keys = new Set<string>();
    for (let at = this.changes.length - 1; at >= 0; at -= 1) {
      const change = this.changes[at];
      if (!change || change.sequence < sequence) return undefined;
      if (change.sequence === sequence) return keys;
      for (const key of change.keys) keys.add(key);
    }
    return this.base === sequence ? keys : undefined;
  }
}
