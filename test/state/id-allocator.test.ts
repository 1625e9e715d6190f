import { expect, test } from "vitest";
import { IdAllocator } from "../../src/state/id-allocator.js";

test("thousands of configs with thousands of routes: no number has two names within its rest, and none is used up", () => {
  const numbering = new IdAllocator();
  const lastOf = new Map<number, { name: string; at: number }>();
  const restingSince = new Map<number, number>();
  const rest = 60;
  for (let at = 0; at < 3000; at += 1) {
    const names = Array.from({ length: at % 500 === 0 ? 10_000 : 40 }, (_, one) =>
      one < 30 ? `kept-${one}` : `r-${at}-${one}`,
    );
    const rested = [...numbering.resting].filter(
      (number) => (restingSince.get(number) ?? at) < at - rest,
    );
    numbering.adopt(names, rested);
    for (const number of rested) restingSince.delete(number);
    for (const number of numbering.resting)
      if (!restingSince.has(number)) restingSince.set(number, at);
    expect(numbering.inForce.size).toBe(names.length);
    if (at % 100 === 0) {
      const copy = new IdAllocator();
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
