/** How many names can have a number at a time: as many as the sketch of routes tells apart. */
export const ID_LIMIT = 2 ** 16;

/** How names of services and routes stand: in force, lately out of force, and numbers that are free again. */
export interface IdAllocatorState {
  inForce: Array<[name: string, number: number]>;
  resting: Array<[name: string, number: number]>;
  free: number[];
  next: number;
}

/** What a configuration changes of the names in force. */
export interface NameChanges {
  readonly added: string[];
  readonly removed: string[];
}

/**
 * Gives each name in force a number of its own. A number whose name is out of force rests until the leader says that no window
 * holds it any more; only then may another name have it.
 */
export class IdAllocator {
  private names = new Map<string, number>();
  private rests = new Map<string, number>();
  private free: number[] = [];
  private next = 1;

  /** The names in force that have a number. */
  get inForce(): ReadonlyMap<string, number> {
    return this.names;
  }

  /** The numbers that wait until no window holds them. */
  get resting(): ReadonlySet<number> {
    return new Set(this.rests.values());
  }

  get state(): IdAllocatorState {
    return { inForce: [...this.names], resting: [...this.rests], free: this.free, next: this.next };
  }

  restore({ inForce, resting, free, next }: IdAllocatorState): void {
    this.names = new Map(inForce);
    this.rests = new Map(resting);
    this.free = [...free];
    this.next = next;
  }

  /** The name by which a service is numbered. */
  static serviceName(service: string): string {
    return `service ${service}`;
  }

  /** The name by which a route is numbered. */
  static routeName(route: string): string {
    return `route ${route}`;
  }

  /** A config with these names comes in force; numbers that were said to be rested are free. */
  adopt(names: readonly string[], rested: readonly number[]): void {
    const wanted = new Set(names);
    const removed = [...this.names.keys()].filter((name) => !wanted.has(name));
    this.change({ added: [...wanted], removed }, rested);
  }

  /** Some names come into force and others go; numbers that were said to be rested are free. */
  change({ added, removed }: NameChanges, rested: readonly number[]): void {
    this.release(rested);
    for (const name of removed) this.rest(name);
    for (const name of added) this.number(name);
  }

  private release(rested: readonly number[]): void {
    if (rested.length === 0) return;
    const free = new Set(rested);
    for (const [name, number] of this.rests) {
      if (!free.has(number)) continue;
      this.rests.delete(name);
      this.free.push(number);
    }
  }

  private rest(name: string): void {
    const number = this.names.get(name);
    if (number === undefined) return;
    this.names.delete(name);
    this.rests.set(name, number);
  }

  private number(name: string): void {
    if (this.names.has(name)) return;
    const number =
      this.rests.get(name) ?? this.free.pop() ?? (this.next < ID_LIMIT ? this.next++ : undefined);
    if (number === undefined) return;
    this.rests.delete(name);
    this.names.set(name, number);
  }
}
