import { describe, expect, test } from "vitest";
import { OutcomeCache } from "../../../src/proxy/idempotency/outcome-cache.js";
import type { KeyedOutcome } from "../../../src/proxy/idempotency/keyed-outcome.js";
import { VirtualClock } from "../../../src/simulation/virtual-clock.js";

const response = (bytes: number): KeyedOutcome => ({
  kind: "ran",
  response: { code: 201, headers: {}, body: Buffer.alloc(bytes, "b") },
});

describe("outcome cache", () => {
  test("a response is found by its scope and the request that ran, and by no other", () => {
    const store = new OutcomeCache(new VirtualClock().clock(), 1000);
    store.store({ scope: "s", requestId: "one" }, response(10));
    expect(store.find({ scope: "s", requestId: "one" })).toEqual(response(10));
    expect(store.find({ scope: "s", requestId: "other" })).toBeUndefined();
    expect(store.find({ scope: "t", requestId: "one" })).toBeUndefined();
  });

  test("the total size is bounded: the oldest responses are evicted first", () => {
    const mostBytes = 100_000;
    const store = new OutcomeCache(new VirtualClock().clock(), 1000, mostBytes);
    for (let at = 0; at < 200; at += 1) {
      store.store({ scope: `s${at}`, requestId: "j" }, response(9_800));
      expect(store.storedBytes).toBeLessThanOrEqual(mostBytes);
    }
    const isKept = (at: number): boolean =>
      store.find({ scope: `s${at}`, requestId: "j" }) !== undefined;
    expect(Array.from({ length: 200 }, (_, at) => at).filter(isKept)).toEqual([
      190, 191, 192, 193, 194, 195, 196, 197, 198, 199,
    ]);
  });

  test("an entry older than its key's retention is evicted with the next one, and a replaced response counts once", () => {
    const time = new VirtualClock();
    const store = new OutcomeCache(time.clock(), 1000);
    store.store({ scope: "old", requestId: "j" }, response(500));
    time.runUntil(1500);
    store.store({ scope: "new", requestId: "j" }, response(500));
    expect(store.find({ scope: "old", requestId: "j" })).toBeUndefined();
    const oneBytes = store.storedBytes;
    store.store({ scope: "new", requestId: "j" }, response(500));
    expect(store.storedBytes).toBe(oneBytes);
  });
});
