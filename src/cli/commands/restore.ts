/** `daledoor restore`: restores the replicated log from one voter after the majority is permanently lost. */
import { SettingsError } from "../../daemon/settings-error.js";
import { SettingsFile } from "../../daemon/settings-file.js";
import {
  restoreAsOnlyVoter,
  type RestoreResult,
} from "../../replication/bootstrap/restore-as-only-voter.js";
import { openDisk } from "../../runtime/disk.js";
import { runTask } from "../../runtime/task.js";
import type { CommandDefinition } from "../command.js";
import { ExitCode } from "../exit-code.js";
import { printError, printFaults } from "../output.js";

interface RestoreOptions {
  settings?: string;
  acceptLoss?: boolean;
}

const restoreFrom = (dataFolder: string, peers: string): Promise<RestoreResult> =>
  new Promise((resolve, reject) =>
    runTask(
      (function* () {
        return yield* restoreAsOnlyVoter(yield* openDisk(dataFolder), peers);
      })(),
      reject,
      resolve,
    ),
  );

const restore = async ({ settings: file, acceptLoss }: RestoreOptions): Promise<number> => {
  const { dataFolder, peers } = SettingsFile.withOverrides(file, {}).read();
  if (dataFolder === undefined) {
    printError("dataFolder: not set, so this daemon has no replicated log to restore.");
    return ExitCode.usage;
  }
  printError(
    "WARNING: this makes this recorder the only voter. Entries that only the lost recorders stored are lost. Empty their data folders before they start again.",
  );
  if (acceptLoss !== true) {
    printError(
      "Nothing was changed. Run again with --accept-loss if the other voters are permanently lost.",
    );
    return ExitCode.refused;
  }
  const restored = await restoreFrom(dataFolder, peers);
  if (restored.kind === "refused") {
    printError(restored.why);
    return ExitCode.refused;
  }
  process.stdout.write(
    `Restored: ${peers} is the only voter; the log ends at entry ${restored.lastIndex}. Start this daemon, then the others with empty data folders.\n`,
  );
  return ExitCode.success;
};

const restoreOrPrintFaults = async (options: RestoreOptions): Promise<number> => {
  try {
    return await restore(options);
  } catch (error) {
    if (!(error instanceof SettingsError)) throw error;
    printFaults(error.faults);
    return ExitCode.usage;
  }
};

/** Adds the command `restore`. */
export const addRestoreCommand: CommandDefinition = (program, start) => {
  program
    .command(
      "restore",
      "Restore the replicated log from this recorder only, after a majority is permanently lost (stop the daemon first)",
    )
    .option("--settings <file>", "Settings file of this recorder")
    .option("--accept-loss", "Confirm that entries which only the lost recorders stored are lost")
    .action((options: RestoreOptions) => start(restoreOrPrintFaults(options)));
};
