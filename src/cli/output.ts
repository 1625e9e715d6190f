/** Messages of the command line on the error stream. */
import type { ValidationFault } from "../configuration/config-validation.js";

/** Prints one message, with the program's name before it. */
export const printError = (message: string): void => {
  process.stderr.write(`daledoor: ${message}\n`);
};

/** Prints each fault with its path. */
export const printFaults = (faults: readonly ValidationFault[]): void => {
  for (const { path, expected } of faults) printError(`${path}: ${expected}`);
};

/** The message of anything thrown. */
export const errorMessage = (error: unknown): string =>
  error instanceof Error ? error.message : String(error);
