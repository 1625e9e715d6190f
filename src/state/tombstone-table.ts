/** Tombstones: the instances of backends that left, were drained or were replaced, and never register again. */
import { define } from "superstruct";

/** How many tombstones are retained; beyond that the oldest are dropped. */
export const MAX_TOMBSTONES = 20_000;

/** A tombstone as it is stored: the instance, and the index of the log entry by which it left. */
export type StoredTombstone = [instance: string, leftAt: number];

const isStoredTombstone = (value: unknown): value is StoredTombstone =>
  Array.isArray(value) &&
  value.length === 2 &&
  typeof value[0] === "string" &&
  typeof value[1] === "number";

/** The stored shape of the table; it is large, so that plain code checks it. */
export const tombstonesShape = define<StoredTombstone[]>(
  "gone instances",
  (value) => Array.isArray(value) && value.every(isStoredTombstone),
);

/** The tombstones by instance, the oldest first. */
export class TombstoneTable {
  private indexes = new Map<string, number>();

  /** The index of the log entry by which each instance left. */
  get byInstance(): ReadonlyMap<string, number> {
    return this.indexes;
  }

  /** The stored form of the table. */
  toStored(): StoredTombstone[] {
    return [...this.indexes];
  }

  /** Takes over stored tombstones. */
  restore(toStored: readonly StoredTombstone[]): void {
    this.indexes = new Map(toStored);
  }

  /** Whether an instance has a tombstone. */
  has(instance: string): boolean {
    return this.indexes.has(instance);
  }

  /** Adds a tombstone for an instance, if it is named and has none, and drops the oldest beyond the limit. */
  add(index: number, instance: string): void {
    if (instance === "" || this.indexes.has(instance)) return;
    this.indexes.set(instance, index);
    for (const oldest of this.indexes.keys()) {
      if (this.indexes.size <= MAX_TOMBSTONES) return;
      this.indexes.delete(oldest);
    }
  }

  /** Removes the tombstones of instances. */
  remove(instances: readonly string[]): { readonly known: true } {
    for (const instance of instances) this.indexes.delete(instance);
    return { known: true };
  }
}
