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
    printError("Two settings files given; use either the argument or --settings.");
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
    .command("run [file]", "Run this machine's daemon with the settings in a file")
    .option(
      "--settings <file>",
      "Settings file (JSON), instead of the argument; flags override its fields",
    )
    .option("--machine <name>", "Name of this machine")
    .option("--zone <name>", "Zone of this machine")
    .option("--callers <ip:port>", "Address for clients' requests")
    .option("--operators <ip:port>", "Address of the admin API, for operators and backends")
    .option("--peers <ip:port>", "Address for other daemons")
    .option(
      "--seeds <list>",
      "Comma-separated peer addresses of up to nine daemons, used to discover the others",
    )
    .option(
      "--roles <list>",
      "Comma-separated: edge, recorder, collector; by default edge without a data folder, else recorder and collector",
    )
    .option("--data-folder <folder>", "Folder for a recorder's files")
    .option("--log-level <level>", "debug, info, warn or error")
    .action((file: string | undefined, options: RunOptions) => start(runDaemon(file, options)));
};
