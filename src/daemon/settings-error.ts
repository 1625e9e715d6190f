/** The error for invalid settings. */
import type { ValidationFault } from "../configuration/config-validation.js";

/** Thrown when settings are invalid; carries every fault with its path. */
export class SettingsError extends Error {
  readonly code = "INVALID_SETTINGS";
  readonly faults: ValidationFault[];

  constructor(faults: ValidationFault[]) {
    super(
      `Invalid settings: ${faults.map(({ path, expected }) => `${path}: ${expected}`).join("; ")}`,
    );
    this.faults = faults;
  }
}
