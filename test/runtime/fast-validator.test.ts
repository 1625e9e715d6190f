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

const validValue = {
  kind: "one",
  text: "",
  many: [{ at: 1, any: null }],
  open: { inner: 2, more: [] },
  either: true,
  named: { a: 1 },
};

test("a valid value is returned unchanged, and an invalid one is rejected with the library's message", () => {
  const read = fastValidator(shape);
  expect(read(validValue)).toBe(validValue);
  expect(read({ ...validValue, flag: true, either: { no: "x" } })).toMatchObject({ flag: true });
  const invalidValues: unknown[] = [
    undefined,
    null,
    7,
    [],
    {},
    { ...validValue, kind: "two" },
    { ...validValue, text: 1 },
    { ...validValue, flag: 1 },
    { ...validValue, flag: null },
    { ...validValue, many: {} },
    { ...validValue, many: [{ at: "1", any: 1 }] },
    { ...validValue, many: [{ at: 1, any: 1, more: 1 }] },
    { ...validValue, open: { inner: "2" } },
    { ...validValue, either: false },
    { ...validValue, named: { a: "1" } },
    { ...validValue, more: 1 },
    { ...validValue, text: undefined },
    Object.fromEntries(Object.entries(validValue).filter(([name]) => name !== "named")),
  ];
  for (const value of invalidValues) {
    const messageOf = (validate: () => unknown): string => {
      try {
        validate();
        return "accepted";
      } catch (error) {
        return error instanceof Error ? error.message : "";
      }
    };
    expect(messageOf(() => read(value))).toBe(messageOf(() => create(value, shape)));
    expect(messageOf(() => read(value))).not.toBe("accepted");
  }
});
