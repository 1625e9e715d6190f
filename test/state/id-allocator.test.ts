import { describe, expect, test } from "vitest";
import { IdAllocator } from "../../src/state/id-allocator.js";

describe("IdAllocator", () => {
  test("over thousands of configurations no id is reused within its rest, and ids don't run out", () => {
    const ids = new IdAllocator();
    const lastNameById = new Map<number, { name: string; round: number }>();
    const restingSince = new Map<number, number>();
    const restConfigs = 60;
    for (let round = 0; round < 3000; round += 1) {
      const names = Array.from({ length: round % 500 === 0 ? 10_000 : 40 }, (_, one) =>
        one < 30 ? `kept-${one}` : `r-${round}-${one}`,
      );
      const rested = [...ids.quarantinedIds].filter(
        (number) => (restingSince.get(number) ?? round) < round - restConfigs,
      );
      ids.setActiveNames(names, rested);
      for (const number of rested) restingSince.delete(number);
      for (const number of ids.quarantinedIds)
        if (!restingSince.has(number)) restingSince.set(number, round);
      expect(ids.activeIds.size).toBe(names.length);
      if (round % 100 === 0) {
        const copy = new IdAllocator();
        copy.restore(ids.state);
        expect(copy.state).toEqual(ids.state);
        expect(new Set(ids.activeIds.values()).size).toBe(names.length);
      }
      for (const [name, number] of ids.activeIds) {
        const last = lastNameById.get(number);
        if (last && last.name !== name) expect(round - last.round).toBeGreaterThan(restConfigs);
        lastNameById.set(number, { name, at: round });
      }
    }
    expect(Math.max(...lastNameById.keys())).toBeLessThan(25_000);
  });
});
