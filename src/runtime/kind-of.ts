/** The discriminant of values that were read from outside. */

/** The `kind` of a value that was read from outside; empty where it has none. */
export const kindField = (value: unknown): string =>
  typeof value === "object" && value !== null && "kind" in value && typeof value.kind === "string"
    ? value.kind
    : "";
