/** Allocates numeric ids to the names of services and routes; sketches count by them. */

/** One above the largest id: as many as the sketch of routes distinguishes. */
export const ID_LIMIT = 2 ** 16;

/** The stored state: ids by name in use, ids by name out of use, ids that can be allocated again, and the next new id. */
export interface IdAllocatorState {
  inForce: Array<[name: string, number: number]>;
  resting: Array<[name: string, number: number]>;
  free: number[];
  next: number;
}

/** The names that a configuration brings into use and takes out of use. */
export interface NameChanges {
  readonly added: string[];
  readonly removed: string[];
}

/**
 * Allocates an id to each name in use. An id whose name goes out of use rests until the leader says that no window counts by it
 * any more; only then can it be allocated to another name.
 */
export class IdAllocator {
  private active = new Map<string, number>();
  private restingIds = new Map<string, number>();
  private free: number[] = [];
  private nextId = 1;

  /** The ids of the names in use. */
  get activeIds(): ReadonlyMap<string, number> {
    return this.active;
  }

  /** The ids that rest until no window counts by them. */
  get quarantinedIds(): ReadonlySet<number> {
    return new Set(this.restingIds.values());
  }

  /** The stored state. */
  get state(): IdAllocatorState {
    return {
      inForce: [...this.active],
      resting: [...this.restingIds],
      free: this.free,
      next: this.nextId,
    };
  }

  /** Takes over a stored state. */
  restore({ inForce, resting: quarantinedIds, free, next }: IdAllocatorState): void {
    this.active = new Map(inForce);
    this.restingIds = new Map(quarantinedIds);
    this.free = [...free];
    this.nextId = next;
  }

  /** The name under which a service has its id. */
  static serviceName(service: string): string {
    return `service ${service}`;
  }

  /** The name under which a route has its id. */
  static routeName(route: string): string {
    return `route ${route}`;
  }

  /** Applies a configuration with these names; `rested` are ids that can be allocated again. */
  setActiveNames(names: readonly string[], rested: readonly number[]): void {
    const wanted = new Set(names);
    const removed = [...this.active.keys()].filter((name) => !wanted.has(name));
    this.applyNameChanges({ added: [...wanted], removed }, rested);
  }

  /** Applies the changes of names; `rested` are ids that can be allocated again. */
  applyNameChanges({ added, removed }: NameChanges, rested: readonly number[]): void {
    this.release(rested);
    for (const name of removed) this.rest(name);
    for (const name of added) this.allocate(name);
  }

  private release(rested: readonly number[]): void {
    if (rested.length === 0) return;
    const released = new Set(rested);
    for (const [name, id] of this.restingIds) {
      if (!released.has(id)) continue;
      this.restingIds.delete(name);
      this.free.push(id);
    }
  }

  private rest(name: string): void {
    const id = this.active.get(name);
    if (id === undefined) return;
    this.active.delete(name);
    this.restingIds.set(name, id);
  }

  private allocate(name: string): void {
    if (this.active.has(name)) return;
    const id =
      this.restingIds.get(name) ??
      this.free.pop() ??
      (this.nextId < ID_LIMIT ? this.nextId++ : undefined);
    if (id === undefined) return;
    this.restingIds.delete(name);
    this.active.set(name, id);
  }
}
