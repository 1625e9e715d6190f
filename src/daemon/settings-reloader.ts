/** Reloads the settings file while the daemon runs, when the file changes or on request. */
import { type Clock, sleep } from "../runtime/clock.js";
import type { Logger } from "../runtime/logger.js";
import type { Task } from "../runtime/task.js";
import { SettingsError } from "./settings-error.js";
import type { SettingsFile } from "./settings-file.js";
import { type Settings, settingsDifference } from "./settings.js";

/** Interval at which the settings file is checked for changes. */
const FILE_CHECK_INTERVAL_MS = 1000;

/** Applies changed settings that can change at run time, and logs those that need a restart. */
export class SettingsReloader {
  private readonly file: SettingsFile;
  private readonly apply: (settings: Settings, changedNames: readonly string[]) => void;
  private readonly log: Logger;
  private settings: Settings;

  /** `apply` is called with the new settings and the names of the changed ones that take effect at run time. */
  constructor(
    file: SettingsFile,
    settings: Settings,
    apply: (settings: Settings, changedNames: readonly string[]) => void,
    log: Logger,
  ) {
    this.file = file;
    this.settings = settings;
    this.apply = apply;
    this.log = log;
  }

  /** Reloads the file whenever it has changed. */
  *run(clock: Clock): Task {
    for (;;) {
      yield* sleep(clock, FILE_CHECK_INTERVAL_MS);
      if (this.file.hasChanged) this.reload();
    }
  }

  /** Reads the file again. If the new settings are invalid, logs their faults and keeps the previous ones. */
  reload(): void {
    try {
      const newSettings = this.file.read();
      const { applied, needRestart } = settingsDifference(this.settings, newSettings);
      this.apply(newSettings, applied);
      this.log.info("settings reloaded", { applied, needRestart });
      this.settings = {
        ...this.settings,
        logLevel: newSettings.logLevel ?? "info",
        seeds: newSettings.seeds,
      };
    } catch (error) {
      this.log.warn("settings reload failed", {
        faults: error instanceof SettingsError ? error.faults : String(error),
      });
    }
  }
}
