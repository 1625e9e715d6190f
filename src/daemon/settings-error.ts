import type { Fault } from "../configuration/config.js";

/** Raised when settings can't be used; carries every fault. */
export class SettingsError extends Error {
  readonly faults: Fault[];
  constructor(faults: Fault[]) {
    super("The settings have faults.");
    this.faults = faults;
  }
}
