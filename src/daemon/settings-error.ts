/** The error of settings that can't be used. */
import type { ValidationFault } from "../configuration/config-validation.js";

/** Thrown when settings are invalid; carries every fault with its path. */
export class SettingsError extends Error {
  readonly code = "INVALID_SETTINGS";
  readonly faults: ValidationFault[];

  constructor(faults: ValidationFault[]) {
    super("The settings have faults.");
    this.faults = faults;
  }
}
