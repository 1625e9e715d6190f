/** `daledoor run`: runs this machine's daemon. */
import { run } from "../../daemon/serve.js";
import { SettingsError } from "../../daemon/settings-error.js";
import type { CommandDefinition } from "../command.js";
import { ExitCode } from "../exit-code.js";
import { printError, printFaults } from "../output.js";

/** The options whose values become settings of the same name. */
const SETTING_OPTIONS = [
  "machine",
  "zone",
  "callers",
  "operators",
  "peers",
  "dataFolder",
  "logLevel",
] as const;

interface RunOptions extends Partial<Record<(typeof SETTING_OPTIONS)[number], string>> {
  settings?: string;
  seeds?: string;
  roles?: string;
}

const settingsFrom = (options: RunOptions): Record<string, unknown> => {
  const settings: Record<string, unknown> = {};
  for (const name of SETTING_OPTIONS)
    if (options[name] !== undefined) settings[name] = String(options[name]);
  if (options.seeds !== undefined) settings.seeds = options.seeds.split(",");
  if (options.roles !== undefined) settings.roles = options.roles.split(",");
  return settings;
};

const runDaemon = async (file: string | undefined, options: RunOptions): Promise<number> => {
  if (file !== undefined && options.settings !== undefined) {
    printError("Name one settings file, as an argument or by --settings.");
    return ExitCode.usage;
  }
  try {
    return await run(file ?? options.settings, settingsFrom(options));
  } catch (error) {
    if (!(error instanceof SettingsError)) throw error;
    printFaults(error.faults);
    return ExitCode.usage;
  }
};

/** Adds the command `run`. */
export const addRunCommand: CommandDefinition = (program, start) => {
  program
    .command("run [file]", "Run this machine's daemon, with the settings of a file")
    .option(
      "--settings <file>",
      "Settings file (JSON), in place of the argument; flags go before it",
    )
    .option("--machine <name>", "Name of this machine")
    .option("--zone <name>", "Zone of this machine")
    .option("--callers <ip:port>", "Where callers' requests are taken")
    .option("--operators <ip:port>", "Where operators and back ends are heard")
    .option("--peers <ip:port>", "Where other daemons are heard")
    .option(
      "--seeds <list>",
      "Peer addresses of up to nine daemons, through which the others are found",
    )
    .option("--roles <list>", "edge, recorder, collector; by default what the machine can bear")
    .option("--data-folder <folder>", "Where a recorder keeps its files")
    .option("--log-level <level>", "debug, info, warn or error")
    .action((file: string | undefined, options: RunOptions) => start(runDaemon(file, options)));
};
