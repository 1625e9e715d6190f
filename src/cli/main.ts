#!/usr/bin/env node
/** The command line of daledoor: runs a daemon, and sends operators' requests to one. */
import { cac } from "cac";
import { addAskCommand } from "./commands/ask.js";
import { addCheckCommand } from "./commands/check.js";
import { addChangeCommands, addGetCommand } from "./commands/config.js";
import { addRestoreCommand } from "./commands/restore.js";
import { addRunCommand } from "./commands/run.js";
import { addStatusCommand } from "./commands/status.js";
import { ExitCode } from "./exit-code.js";
import { errorMessage, printError } from "./output.js";

const VERSION = "0.1.0";
const HELP_OPTIONS = ["-h", "--help", "-v", "--version"];

const program = cac("daledoor");
let running: Promise<number> | undefined;

/** In the order in which the help lists them. */
const commands = [
  addRunCommand,
  addAskCommand,
  addChangeCommands,
  addGetCommand,
  addRestoreCommand,
  addCheckCommand,
  addStatusCommand,
];
for (const addCommand of commands)
  addCommand(program, (run) => {
    running = run;
  });
program.help();
program.version(VERSION);

try {
  program.parse(process.argv, { run: false });
  const isHelp = process.argv.some((argument) => HELP_OPTIONS.includes(argument));
  if (!program.matchedCommand && !isHelp) {
    printError(`There is no command "${process.argv[2] ?? ""}". See daledoor --help.`);
    process.exitCode = ExitCode.usage;
  } else if (!isHelp) {
    program.runMatchedCommand();
    if (running) process.exit(await running);
  }
} catch (error) {
  printError(errorMessage(error));
  process.exitCode = ExitCode.usage;
}
