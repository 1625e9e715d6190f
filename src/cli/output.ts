/** Messages of the command line on standard error. */
import type { ValidationFault } from "../configuration/config-validation.js";

/** Prints one message, prefixed with the program's name. */
export const printError = (message: string): void => {
  process.stderr.write(`daledoor: ${message}\n`);
};

/** Prints each fault with its path, one a line. */
export const printFaults = (faults: readonly ValidationFault[]): void => {
  for (const { path, expected } of faults) printError(`${path}: ${expected}`);
};

/** The message of a thrown value. */
export const errorMessage = (error: unknown): string =>
  error instanceof Error ? error.message : String(error);
