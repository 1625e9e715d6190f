/** The `kind` of a value that was read from outside, or an empty word. */
export const kindField = (value: unknown): string =>
  typeof value === "object" && value !== null && "kind" in value && typeof value.kind === "string"
    ? value.kind
    : "";
