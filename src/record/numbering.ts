/** How many names can have a number at a time: as many as the sketch of routes tells apart. */
export const numberLimit = 2 ** 16;

/** How names of services and routes stand: in force, lately out of force, and numbers that are free again. */
export interface NumberingState {
  inForce: Array<[name: string, number: number]>;
  resting: Array<[name: string, number: number]>;
  free: number[];
  next: number;
}

/**
 * Gives each name in force a number of its own. A number whose name is out of force rests until the leader says that no window
 * holds it any more; only then may another name have it.
 */
export class Numbering {
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

  get state(): NumberingState {
    return { inForce: [...this.names], resting: [...this.rests], free: this.free, next: this.next };
  }

  restore({ inForce, resting, free, next }: NumberingState): void {
    this.names = new Map(inForce);
    this.rests = new Map(resting);
    this.free = [...free];
    this.next = next;
  }

  /** A config with these names comes in force; numbers that were said to be rested are free. */
  adopt(names: readonly string[], rested: readonly number[]): void {
    const free = new Set(rested);
    for (const [name, number] of this.rests) {
      if (!free.has(number)) continue;
      this.rests.delete(name);
      this.free.push(number);
    }
    const wanted = new Set(names);
    for (const [name, number] of this.names) {
      if (wanted.has(name)) continue;
      this.names.delete(name);
      this.rests.set(name, number);
    }
    for (const name of wanted) {
      if (this.names.has(name)) continue;
      const number = this.rests.get(name) ?? this.free.pop() ?? (this.next < numberLimit ? this.next++ : undefined);
      if (number === undefined) continue;
      this.rests.delete(name);
      this.names.set(name, number);
    }
  }
}

if (import.meta.vitest) {
  const { expect, test } = import.meta.vitest;
  test("thousands of configs with thousands of routes: no number has two names within its rest, and none is used up", () => {
    const numbering = new Numbering();
    const lastOf = new Map<number, { name: string; at: number }>();
    const restingSince = new Map<number, number>();
    const rest = 60;
    for (let at = 0; at < 3000; at += 1) {
      const names = Array.from({ length: at % 500 === 0 ? 10_000 : 40 }, (_, one) => (one < 30 ? `kept-${one}` : `r-${at}-${one}`));
      const rested = [...numbering.resting].filter((number) => (restingSince.get(number) ?? at) < at - rest);
      numbering.adopt(names, rested);
      for (const number of rested) restingSince.delete(number);
      for (const number of numbering.resting) if (!restingSince.has(number)) restingSince.set(number, at);
      expect(numbering.inForce.size).toBe(names.length);
      if (at % 100 === 0) {
        const copy = new Numbering();
        copy.restore(numbering.state);
        expect(copy.state).toEqual(numbering.state);
        expect(new Set(numbering.inForce.values()).size).toBe(names.length);
      }
      for (const [name, number] of numbering.inForce) {
        const last = lastOf.get(number);
        if (last && last.name !== name) expect(at - last.at).toBeGreaterThan(rest);
        lastOf.set(number, { name, at });
      }
    }
    expect(Math.max(...lastOf.keys())).toBeLessThan(25_000);
  });
}
