/** Validators of superstruct shapes that are faster than the library's own, for frequent messages. */
import { create, type Struct } from "superstruct";

type Guard = (value: unknown) => boolean;

const isStruct = (value: unknown): value is Struct<unknown, unknown> =>
  typeof value === "object" &&
  value !== null &&
  "is" in value &&
  "type" in value &&
  "schema" in value;

const primitiveGuards: Readonly<Record<string, Guard>> = {
  string: (value) => typeof value === "string",
  number: (value) => typeof value === "number" && !Number.isNaN(value),
  boolean: (value) => typeof value === "boolean",
  unknown: () => true,
};

const createObjectGuard = (schema: object, isExact: boolean): Guard => {
  const fields = new Map<string, Guard>();
  for (const [name, struct] of Object.entries(schema))
    if (isStruct(struct)) fields.set(name, getGuard(struct));
  const required = [...fields].filter(([, guard]) => !guard(undefined)).map(([name]) => name);
  return (value) => {
    if (typeof value !== "object" || value === null || Array.isArray(value)) return false;
    const actual = new Map<string, unknown>(Object.entries(value));
    for (const name of required) if (!actual.has(name)) return false;
    for (const [name, fieldValue] of actual) {
      const guard = fields.get(name);
      if (guard ? !guard(fieldValue) : isExact) return false;
    }
    return true;
  };
};

const createInnerGuard = (struct: Struct<unknown, unknown>): Guard => {
  const { type, schema } = struct;
  const primitive = primitiveGuards[type];
  if (primitive) return primitive;
  if (type === "literal") return (value) => value === schema;
  if ((type === "object" || type === "type") && typeof schema === "object" && schema !== null)
    return createObjectGuard(schema, type === "object");
  if (type === "array" && isStruct(schema)) {
    const guard = getGuard(schema);
    return (value) => Array.isArray(value) && value.every(guard);
  }
  return (value) => struct.is(value);
};

const guards = new WeakMap<object, Guard>();

const getGuard = (struct: Struct<unknown, unknown>): Guard => {
  const cached = guards.get(struct);
  if (cached) return cached;
  const guard = createGuard(struct);
  guards.set(struct, guard);
  return guard;
};

const createGuard = (struct: Struct<unknown, unknown>): Guard => {
  const inner = createInnerGuard(struct);
  const allowsUndefined = struct.is(undefined);
  const allowsNull = struct.is(null);
  return (value) =>
    value === undefined ? allowsUndefined : value === null ? allowsNull : inner(value);
};

/** Whether a value matches a shape. */
export const matchesStruct = (struct: object, value: unknown): boolean =>
  isStruct(struct) && getGuard(struct)(value);

/** Creates a validator that returns a valid value unchanged, and throws the library's own error for any other. Supports only shapes without refinements. */
export const fastValidator = <T, S>(struct: Struct<T, S>): ((value: unknown) => T) => {
  const isValid = (value: unknown): value is T => matchesStruct(struct, value);
  return (value) => (isValid(value) ? value : create(value, struct));
};
