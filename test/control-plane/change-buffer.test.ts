import { describe, expect, test } from "vitest";
import { ChangeBuffer } from "../../src/control-plane/change-buffer.js";

describe("ChangeBuffer", () => {
  test("it is limited by bytes: changes since a sequence before the oldest one are unknown", () => {
    const changes = new ChangeBuffer(5, 400);
    for (let sequence = 6; sequence < 16; sequence += 1)
      changes.note(sequence, [`item-${sequence}`]);
    expect(changes.since(15)).toEqual(new Set());
    expect(changes.since(13)).toEqual(new Set(["item-14", "item-15"]));
    expect(changes.since(5)).toBeUndefined();
    expect(changes.since(99)).toBeUndefined();
    expect([10, 11, 12].map((sequence) => changes.since(sequence)?.size)).toEqual([5, 4, 3]);
    expect(changes.since(9)).toBeUndefined();
    changes.note(20, ["x".repeat(1000)]);
    expect(changes.since(20)).toEqual(new Set());
    expect(changes.since(15)).toBeUndefined();
  });
});
