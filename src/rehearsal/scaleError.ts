/** Raised when a scale run can't get where it is to measure. */
export class ScaleError extends Error {}
