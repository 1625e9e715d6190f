/** Shapes with fast guards: plain code that decides the common case, so that only refused values go through superstruct. */
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

/** Whether a value is an object of named fields. */
export const isObject = (value: unknown): value is Record<string, unknown> =>
  typeof value === "object" && value !== null && !Array.isArray(value);

type Guard = (value: unknown) => boolean;

/** A guard that checks each object once: values that were read from outside are never changed afterwards. */
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

/** Builders of shapes with a guard each: a value that passes the guard is valid; the shape itself says why another isn't. */
export const Validated = {
  /** A value that a guard decides. */
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

  /** An integer within limits, inclusive. */
  integerBetween: (low: number, high: number) =>
    withGuard(
      max(min(integer(), low), high),
      (value) =>
        typeof value === "number" && Number.isInteger(value) && value >= low && value <= high,
    ),

  /** A boolean. */
  boolean: () =>
    Validated.custom<boolean>("boolean", (value) => typeof value === "boolean", "true or false"),

  /** One of some words. */
  oneOf: <const T extends readonly [string, ...string[]]>(words: T) =>
    withGuard(enums(words), (value) => words.some((word) => word === value)),

  /** An optional value. */
  optional: <T, S>(struct: Struct<T, S>): Struct<T | undefined, S> => {
    const guard = findGuard(struct);
    return withGuard(optional(struct), (value) => value === undefined || guard(value));
  },

  /** A list that isn't empty. */
  nonEmptyArray: <T, S>(struct: Struct<T, S>) => {
    const guard = findGuard(struct);
    return withGuard(
      nonempty(array(struct)),
      (value) => Array.isArray(value) && value.length > 0 && value.every(guard),
    );
  },

  /** An object, guarded by the guards of its fields. */
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

  /** A record of named items. */
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
