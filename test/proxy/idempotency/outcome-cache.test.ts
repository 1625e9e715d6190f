import { describe, expect, test } from "vitest";
import { OutcomeCache } from "../../../src/proxy/idempotency/outcome-cache.js";
import type { KeyedOutcome } from "../../../src/proxy/idempotency/keyed-outcome.js";
import { VirtualClock } from "../../../src/simulation/virtual-clock.js";

const response = (bytes: number): KeyedOutcome => ({
  kind: "ran",
  response: { code: 201, headers: {}, body: Buffer.alloc(bytes, "b") },
});

describe("outcome cache", () => {
  test("a response is found only by its own scope and request id", () => {
    const cache = new OutcomeCache(new VirtualClock().clock(), 1000);
    cache.store({ scope: "s", requestId: "one" }, response(10));
    expect(cache.find({ scope: "s", requestId: "one" })).toEqual(response(10));
    expect(cache.find({ scope: "s", requestId: "other" })).toBeUndefined();
    expect(cache.find({ scope: "t", requestId: "one" })).toBeUndefined();
  });

  test("the oldest responses are evicted when the total size exceeds its maximum", () => {
    const maxBytes = 100_000;
    const cache = new OutcomeCache(new VirtualClock().clock(), 1000, maxBytes);
    for (let at = 0; at < 200; at += 1) {
      cache.store({ scope: `s${at}`, requestId: "j" }, response(9_800));
      expect(cache.storedBytes).toBeLessThanOrEqual(maxBytes);
    }
    const isStored = (at: number): boolean =>
      cache.find({ scope: `s${at}`, requestId: "j" }) !== undefined;
    expect(Array.from({ length: 200 }, (_, at) => at).filter(isStored)).toEqual([
      190, 191, 192, 193, 194, 195, 196, 197, 198, 199,
    ]);
  });

  test("storing an entry evicts entries older than the retention time, and a replaced response counts once", () => {
    const time = new VirtualClock();
    const cache = new OutcomeCache(time.clock(), 1000);
    cache.store({ scope: "old", requestId: "j" }, response(500));
    time.runUntil(1500);
    cache.store({ scope: "new", requestId: "j" }, response(500));
    expect(cache.find({ scope: "old", requestId: "j" })).toBeUndefined();
    const singleEntryBytes = cache.storedBytes;
    cache.store({ scope: "new", requestId: "j" }, response(500));
    expect(cache.storedBytes).toBe(singleEntryBytes);
  });
});
