import { describe, expect, test } from "vitest";
import { ChangeBuffer } from "../../src/control-plane/change-buffer.js";

describe("ChangeBuffer", () => {
  test("it is limited by bytes: changes since a sequence before the oldest one are unknown", () => {
    const changes = new ChangeBuffer(5, 400);
    for (let sequence = 6; sequence < 16; sequence += 1)
      changes.record(sequence, [`item-${sequence}`]);
    expect(changes.keysChangedSince(15)).toEqual(new Set());
    expect(changes.keysChangedSince(13)).toEqual(new Set(["item-14", "item-15"]));
    expect(changes.keysChangedSince(5)).toBeUndefined();
    expect(changes.keysChangedSince(99)).toBeUndefined();
    expect([10, 11, 12].map((sequence) => changes.keysChangedSince(sequence)?.size)).toEqual([
      5, 4, 3,
    ]);
    expect(changes.keysChangedSince(9)).toBeUndefined();
    changes.record(20, ["x".repeat(1000)]);
    expect(changes.keysChangedSince(20)).toEqual(new Set());
    expect(changes.keysChangedSince(15)).toBeUndefined();
  });
});
