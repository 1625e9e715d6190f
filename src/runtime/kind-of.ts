/** The discriminant of values from external input. */

/** The `kind` of a value from external input; empty if it has none. */
export const kindField = (value: unknown): string =>
  typeof value === "object" && value !== null && "kind" in value && typeof value.kind === "string"
    ? value.kind
    : "";
