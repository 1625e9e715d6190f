/** Superstruct shapes with fast guards: plain code checks each value, and superstruct only explains why a value is refused. */
import {
  array,
  define,
  enums,
  integer,
  max,
  min,
  nonempty,
  optional,
  record,
  type Struct,
} from "superstruct";

/** Whether a value is an object other than an array. */
export const isObject = (value: unknown): value is Record<string, unknown> =>
  typeof value === "object" && value !== null && !Array.isArray(value);

type Guard = (value: unknown) => boolean;

/** Caches the objects that pass a guard: parsed values are never changed afterwards. */
const memoized = (guard: Guard): Guard => {
  const passed = new WeakSet();
  return (value) => {
    if (typeof value !== "object" || value === null) return guard(value);
    if (passed.has(value)) return true;
    if (!guard(value)) return false;
    passed.add(value);
    return true;
  };
};

const guards = new WeakMap<object, Guard>();
const findGuard = (struct: object): Guard => guards.get(struct) ?? (() => false);
const withGuard = <T extends object>(struct: T, guard: Guard): T => {
  guards.set(struct, guard);
  return struct;
};

const findFieldGuards = <T>({ schema }: Struct<T, Record<string, object>>): Map<string, Guard> =>
  new Map(Object.entries(schema).map(([name, struct]) => [name, findGuard(struct)]));

/** Builders of shapes with guards. A value that passes the guard is valid; the shape reports the faults of other values. */
export const Validated = {
  /** A value that is valid if it passes the guard. */
  custom: <T>(type: string, guard: Guard, expected: string): Struct<T, null> =>
    withGuard(
      define<T>(type, (value) => guard(value) || `Expected ${expected}`),
      guard,
    ),

  /** A text that matches a pattern. */
  pattern: (type: string, pattern: RegExp, expected: string): Struct<string, null> =>
    Validated.custom<string>(
      type,
      (value) => typeof value === "string" && pattern.test(value),
      expected,
    ),

  /** An integer in an inclusive range. */
  integerBetween: (minValue: number, maxValue: number) =>
    withGuard(
      max(min(integer(), minValue), maxValue),
      (value) =>
        typeof value === "number" &&
        Number.isInteger(value) &&
        value >= minValue &&
        value <= maxValue,
    ),

  /** A boolean. */
  boolean: () =>
    Validated.custom<boolean>("boolean", (value) => typeof value === "boolean", "true or false"),

  /** One of the given strings. */
  oneOf: <const T extends readonly [string, ...string[]]>(values: T) =>
    withGuard(enums(values), (value) => values.some((allowed) => allowed === value)),

  /** An optional value. */
  optional: <T, S>(struct: Struct<T, S>): Struct<T | undefined, S> => {
    const guard = findGuard(struct);
    return withGuard(optional(struct), (value) => value === undefined || guard(value));
  },

  /** A non-empty array. */
  nonEmptyArray: <T, S>(struct: Struct<T, S>) => {
    const guard = findGuard(struct);
    return withGuard(
      nonempty(array(struct)),
      (value) => Array.isArray(value) && value.length > 0 && value.every(guard),
    );
  },

  /** An object with the fields of a shape, and no others. */
  objectOf: <T, S extends Record<string, object>>(struct: Struct<T, S>): Struct<T, S> => {
    const fields = findFieldGuards(struct);
    const required = [...fields].filter(([, guard]) => !guard(undefined)).map(([name]) => name);
    return withGuard(
      struct,
      (value) =>
        isObject(value) &&
        required.every((name) => Object.hasOwn(value, name)) &&
        Object.keys(value).every((name) => fields.get(name)?.(value[name]) ?? false),
    );
  },

  /** An object whose keys and values have given shapes. */
  recordOf: <T>(
    name: Struct<string, null>,
    item: Struct<T, unknown>,
  ): Struct<Record<string, T>, null> => {
    const isName = findGuard(name);
    const isItem = memoized(findGuard(item));
    return withGuard(
      record(name, item),
      (value) =>
        isObject(value) && Object.keys(value).every((key) => isName(key) && isItem(value[key])),
    );
  },

  /** Whether a value passes the guard of a shape. */
  accepts: <T>(struct: Struct<T, unknown>, value: unknown): value is T => findGuard(struct)(value),
};
