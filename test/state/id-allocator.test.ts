import { describe, expect, test } from "vitest";
import { IdAllocator } from "../../src/state/id-allocator.js";

describe("IdAllocator", () => {
  // Guards against requests that are counted for the wrong route: windows still count by the id of a removed name.
  test("over thousands of configurations no id is reused within its quarantine, and ids don't run out", () => {
    const ids = new IdAllocator();
    const lastNameById = new Map<number, { name: string; round: number }>();
    const quarantinedAt = new Map<number, number>();
    const quarantineRounds = 60;
    for (let round = 0; round < 3000; round += 1) {
      const names = Array.from({ length: round % 500 === 0 ? 10_000 : 40 }, (_, index) =>
        index < 30 ? `kept-${index}` : `r-${round}-${index}`,
      );
      const reusableIds = [...ids.quarantinedIds].filter(
        (number) => (quarantinedAt.get(number) ?? round) < round - quarantineRounds,
      );
      ids.setActiveNames(names, reusableIds);
      for (const number of reusableIds) quarantinedAt.delete(number);
      for (const number of ids.quarantinedIds)
        if (!quarantinedAt.has(number)) quarantinedAt.set(number, round);
      expect(ids.activeIds.size).toBe(names.length);
      if (round % 100 === 0) {
        const copy = new IdAllocator();
        copy.restore(ids.state);
        expect(copy.state).toEqual(ids.state);
        expect(new Set(ids.activeIds.values()).size).toBe(names.length);
      }
      for (const [name, number] of ids.activeIds) {
        const last = lastNameById.get(number);
        if (last && last.name !== name)
          expect(round - last.round).toBeGreaterThan(quarantineRounds);
        lastNameById.set(number, { name, round });
      }
    }
    expect(Math.max(...lastNameById.keys())).toBeLessThan(25_000);
  });
});
