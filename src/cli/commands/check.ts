/** `daledoor check`: checks a settings file or a config without sending it. */
import { checkConfig } from "../../configuration/config-validation.js";
import { checkSettings } from "../../daemon/settings.js";
import type { CommandDefinition } from "../command.js";
import { ExitCode } from "../exit-code.js";
import { readJsonFile } from "../json-file.js";
import { printFaults } from "../output.js";

const checkFile = async (file: string): Promise<number> => {
  const json = await readJsonFile(file);
  if (!json) return ExitCode.usage;
  const isSettings = typeof json.value === "object" && json.value !== null && "seeds" in json.value;
  const checked = isSettings ? checkSettings(json.value) : checkConfig(json.value);
  if ("faults" in checked) {
    printFaults(checked.faults);
    return ExitCode.refused;
  }
  process.stdout.write(`${file}: valid ${isSettings ? "settings file" : "config"}.\n`);
  return ExitCode.success;
};

/** Adds the command `check`. */
export const addCheckCommand: CommandDefinition = (program, start) => {
  program
    .command("check <file>", "Check a settings file or a config without sending it")
    .action((file: string) => start(checkFile(file)));
};
