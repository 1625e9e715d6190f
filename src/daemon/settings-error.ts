import type { ValidationFault } from "../configuration/config.js";

/** Raised when settings can't be used; carries every fault. */
export class SettingsError extends Error {
  readonly faults: ValidationFault[];
  constructor(faults: ValidationFault[]) {
    super("The settings have faults.");
    this.faults = faults;
  }
}
