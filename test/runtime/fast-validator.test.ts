import {
  array,
  boolean,
  literal,
  number,
  object,
  optional,
  record,
  string,
  type,
  union,
  unknown,
  create,
} from "superstruct";
import { expect, test } from "vitest";
import { fastValidator } from "../../src/runtime/fast-validator.js";

const shape = object({
  kind: literal("one"),
  text: string(),
  flag: optional(boolean()),
  many: array(object({ at: number(), any: unknown() })),
  open: type({ inner: optional(number()) }),
  either: union([literal(true), object({ no: string() })]),
  named: record(string(), number()),
});

const good = {
  kind: "one",
  text: "",
  many: [{ at: 1, any: null }],
  open: { inner: 2, more: [] },
  either: true,
  named: { a: 1 },
};

test("a valid value is returned as it is; an invalid one is refused with the message of the library", () => {
  const read = fastValidator(shape);
  expect(read(good)).toBe(good);
  expect(read({ ...good, flag: true, either: { no: "x" } })).toMatchObject({ flag: true });
  const bad: unknown[] = [
    undefined,
    null,
    7,
    [],
    {},
    { ...good, kind: "two" },
    { ...good, text: 1 },
    { ...good, flag: 1 },
    { ...good, flag: null },
    { ...good, many: {} },
    { ...good, many: [{ at: "1", any: 1 }] },
    { ...good, many: [{ at: 1, any: 1, more: 1 }] },
    { ...good, open: { inner: "2" } },
    { ...good, either: false },
    { ...good, named: { a: "1" } },
    { ...good, more: 1 },
    { ...good, text: undefined },
    Object.fromEntries(Object.entries(good).filter(([name]) => name !== "named")),
  ];
  for (const value of bad) {
    const messageOf = (take: () => unknown): string => {
      try {
        take();
        return "accepted";
      } catch (error) {
        return error instanceof Error ? error.message : "";
      }
    };
    expect(messageOf(() => read(value))).toBe(messageOf(() => create(value, shape)));
    expect(messageOf(() => read(value))).not.toBe("accepted");
  }
});
