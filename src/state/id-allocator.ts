/** Allocates numeric ids to the names of services and routes; sketches count requests by id. */

/** Exclusive upper limit of ids: the number of keys that the sketch of routes distinguishes. */
export const ID_LIMIT = 2 ** 16;

/** The stored state: active ids by name, quarantined ids by name, free ids, and the next new id. */
export interface IdAllocatorState {
  inForce: Array<[name: string, number: number]>;
  resting: Array<[name: string, number: number]>;
  free: number[];
  next: number;
}

/** The names that a configuration adds and removes. */
export interface NameChanges {
  readonly added: string[];
  readonly removed: string[];
}

/**
 * Allocates an id to each active name. The id of a removed name is quarantined until the leader declares that no sketch window
 * counts by it any more. Only then can another name get it.
 */
export class IdAllocator {
  private active = new Map<string, number>();
  private quarantined = new Map<string, number>();
  private free: number[] = [];
  private nextId = 1;

  /** The ids of the active names. */
  get activeIds(): ReadonlyMap<string, number> {
    return this.active;
  }

  /** The ids of removed names, which sketch windows may still count by. */
  get quarantinedIds(): ReadonlySet<number> {
    return new Set(this.quarantined.values());
  }

  /** The stored state. */
  get state(): IdAllocatorState {
    return {
      inForce: [...this.active],
      resting: [...this.quarantined],
      free: this.free,
      next: this.nextId,
    };
  }

  /** Loads a stored state. */
  restore({ inForce, resting, free, next }: IdAllocatorState): void {
    this.active = new Map(inForce);
    this.quarantined = new Map(resting);
    this.free = [...free];
    this.nextId = next;
  }

  /** The name by which a service gets its id. */
  static serviceName(service: string): string {
    return `service ${service}`;
  }

  /** The name by which a route gets its id. */
  static routeName(route: string): string {
    return `route ${route}`;
  }

  /** Replaces the active names; the quarantine of `reusableIds` is over. */
  setActiveNames(names: readonly string[], reusableIds: readonly number[]): void {
    const activeNames = new Set(names);
    const removed = [...this.active.keys()].filter((name) => !activeNames.has(name));
    this.applyNameChanges({ added: [...activeNames], removed }, reusableIds);
  }

  /** Adds and removes names; the quarantine of `reusableIds` is over. */
  applyNameChanges({ added, removed }: NameChanges, reusableIds: readonly number[]): void {
    this.release(reusableIds);
    for (const name of removed) this.quarantine(name);
    for (const name of added) this.allocate(name);
  }

  private release(reusableIds: readonly number[]): void {
    if (reusableIds.length === 0) return;
    const releasedIds = new Set(reusableIds);
    for (const [name, id] of this.quarantined) {
      if (!releasedIds.has(id)) continue;
      this.quarantined.delete(name);
      this.free.push(id);
    }
  }

  private quarantine(name: string): void {
    const id = this.active.get(name);
    if (id === undefined) return;
    this.active.delete(name);
    this.quarantined.set(name, id);
  }

  private allocate(name: string): void {
    if (this.active.has(name)) return;
    const id =
      this.quarantined.get(name) ??
      this.free.pop() ??
      (this.nextId < ID_LIMIT ? this.nextId++ : undefined);
    if (id === undefined) return;
    this.quarantined.delete(name);
    this.active.set(name, id);
  }
}
