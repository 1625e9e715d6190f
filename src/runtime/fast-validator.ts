import { create, type Struct } from "superstruct";

type Guard = (value: unknown) => boolean;

const isStruct = (value: unknown): value is Struct<unknown, unknown> =>
  typeof value === "object" &&
  value !== null &&
  "is" in value &&
  "type" in value &&
  "schema" in value;

const plain: Readonly<Record<string, Guard>> = {
  string: (value) => typeof value === "string",
  number: (value) => typeof value === "number" && !Number.isNaN(value),
  boolean: (value) => typeof value === "boolean",
  unknown: () => true,
};

const fieldsOf = (schema: object, isExact: boolean): Guard => {
  const fields = new Map<string, Guard>();
  for (const [name, struct] of Object.entries(schema))
    if (isStruct(struct)) fields.set(name, guardOf(struct));
  const needed = [...fields].filter(([, guard]) => !guard(undefined)).map(([name]) => name);
  return (value) => {
    if (typeof value !== "object" || value === null || Array.isArray(value)) return false;
    const held = new Map<string, unknown>(Object.entries(value));
    for (const name of needed) if (!held.has(name)) return false;
    for (const [name, one] of held) {
      const guard = fields.get(name);
      if (guard ? !guard(one) : isExact) return false;
    }
    return true;
  };
};

const innerOf = (struct: Struct<unknown, unknown>): Guard => {
  const { type, schema } = struct;
  const simple = plain[type];
  if (simple) return simple;
  if (type === "literal") return (value) => value === schema;
  if ((type === "object" || type === "type") && typeof schema === "object" && schema !== null)
    return fieldsOf(schema, type === "object");
  if (type === "array" && isStruct(schema)) {
    const guard = guardOf(schema);
    return (value) => Array.isArray(value) && value.every(guard);
  }
  return (value) => struct.is(value);
};

const known = new WeakMap<object, Guard>();

const guardOf = (struct: Struct<unknown, unknown>): Guard => {
  const former = known.get(struct);
  if (former) return former;
  const guard = newGuardOf(struct);
  known.set(struct, guard);
  return guard;
};

const newGuardOf = (struct: Struct<unknown, unknown>): Guard => {
  const inner = innerOf(struct);
  const takesUndefined = struct.is(undefined);
  const takesNull = struct.is(null);
  return (value) =>
    value === undefined ? takesUndefined : value === null ? takesNull : inner(value);
};

/** Whether a value is of a shape, looked at by plain code. */
export const matchesStruct = (struct: object, value: unknown): boolean =>
  isStruct(struct) && guardOf(struct)(value);

/** A reader of values from outside that looks at them by plain code; one that is refused is told of by its shape. For shapes without refinements. */
export const fastValidator = <T, S>(struct: Struct<T, S>): ((value: unknown) => T) => {
  const isOne = (value: unknown): value is T => matchesStruct(struct, value);
  return (value) => (isOne(value) ? value : create(value, struct));
};
