#!/usr/bin/env node
import { readFile } from "node:fs/promises";
import { cac } from "cac";
import { request } from "undici";
import { Settings } from "../daemon/settings.js";
import { Disk } from "../runtime/disk.js";
import { run } from "../daemon/serve.js";
import { SettingsError } from "../daemon/settings-error.js";
import { SettingsFile } from "../daemon/settings-file.js";
import { Task } from "../runtime/task.js";
import {
  restoreAsOnlyVoter,
  type RestoreResult,
} from "../replication/bootstrap/restore-as-only-voter.js";
import { Config, type ValidationFault } from "../configuration/config.js";
import { QUERY_FORMS } from "../admin/query-parser.js";

const exit = { well: 0, broken: 1, usage: 2, refused: 3, unreachable: 4 };

const complain = (line: string): void => {
  process.stderr.write(`daledoor: ${line}\n`);
};

const tellFaults = (faults: ValidationFault[]): void => {
  for (const { path, expected } of faults) complain(`${path}: ${expected}`);
};

const readJson = async (file: string): Promise<{ text: string; value: unknown } | undefined> => {
  try {
    const text = await readFile(file, "utf8");
    const value: unknown = JSON.parse(text);
    return { text, value };
  } catch (error) {
    complain(`${file}: ${error instanceof Error ? error.message : String(error)}`);
    return undefined;
  }
};

const send = async (
  at: string,
  method: "GET" | "PUT" | "PATCH" | "POST",
  path: string,
  body?: string,
  headers: Record<string, string> = {},
): Promise<number> => {
  try {
    const ret = await request(`http://${at}${path}`, {
      method,
      headers,
      body: body ?? null,
      headersTimeout: 10_000,
    });
    const text = await ret.body.text();
    let shown = text;
    try {
      shown = `${JSON.stringify(JSON.parse(text), null, 2)}\n`;
    } catch {
      complain("The return is not JSON.");
    }
    (ret.statusCode < 300 ? process.stdout : process.stderr).write(shown);
    return ret.statusCode < 300 ? exit.well : ret.statusCode >= 500 ? exit.broken : exit.refused;
  } catch (error) {
    complain(`${at} can't be reached: ${error instanceof Error ? error.message : String(error)}`);
    return exit.unreachable;
  }
};

const program = cac("daledoor");
const atDefault = process.env.DALEDOOR_AT ?? "127.0.0.1:7070";
const changeHeaders = (options: { base?: number; changeId?: string }): Record<string, string> => ({
  ...(options.base === undefined ? {} : { "if-match": `"${options.base}"` }),
  ...(options.changeId === undefined ? {} : { "change-id": String(options.changeId) }),
});

let ending: Promise<number> | undefined;

const settingFlags = [
  "machine",
  "zone",
  "callers",
  "operators",
  "peers",
  "dataFolder",
  "logLevel",
] as const;

interface RunOptions extends Partial<Record<(typeof settingFlags)[number], string>> {
  settings?: string;
  seeds?: string;
  roles?: string;
}

const runDaemon = async (file: string | undefined, options: RunOptions): Promise<number> => {
  if (file !== undefined && options.settings !== undefined) {
    complain("Name one settings file, as an argument or by --settings.");
    return exit.usage;
  }
  const flags: Record<string, unknown> = {};
  for (const name of settingFlags)
    if (options[name] !== undefined) flags[name] = String(options[name]);
  if (options.seeds !== undefined) flags.seeds = options.seeds.split(",");
  if (options.roles !== undefined) flags.roles = options.roles.split(",");
  try {
    return await run(file ?? options.settings, flags);
  } catch (error) {
    if (!(error instanceof SettingsError)) throw error;
    tellFaults(error.faults);
    return exit.usage;
  }
};

const restoreRecord = async (options: RunOptions & { acceptLoss?: boolean }): Promise<number> => {
  try {
    const settings = SettingsFile.own(options.settings, {}).read();
    const { dataFolder, peers } = settings;
    if (dataFolder === undefined) {
      complain("dataFolder: this daemon keeps no record.");
      return exit.usage;
    }
    complain(
      "WARNING: this makes this recorder the only voter. What only the lost recorders had acknowledged is gone. Their data folders must be emptied before they start again.",
    );
    if (options.acceptLoss !== true) {
      complain(
        "Nothing was changed. Repeat with --accept-loss if the other voters are lost for good.",
      );
      return exit.refused;
    }
    const restored = await new Promise<RestoreResult>((done, fail) =>
      Task.start(
        (function* () {
          return yield* restoreAsOnlyVoter(yield* Disk.open(dataFolder), peers);
        })(),
        fail,
        done,
      ),
    );
    if (restored.kind === "refused") complain(restored.why);
    else
      process.stdout.write(
        `Restored: ${peers} is the only voter; the record ends at entry ${restored.lastIndex}. Start this daemon, then the others with empty data folders.\n`,
      );
    return restored.kind === "restored" ? exit.well : exit.refused;
  } catch (error) {
    if (!(error instanceof SettingsError)) throw error;
    tellFaults(error.faults);
    return exit.usage;
  }
};

const checkFile = async (file: string): Promise<number> => {
  const read = await readJson(file);
  if (!read) return exit.usage;
  const isSettings = typeof read.value === "object" && read.value !== null && "seeds" in read.value;
  const checked = isSettings ? Settings.check(read.value) : Config.check(read.value);
  if ("faults" in checked) {
    tellFaults(checked.faults);
    return exit.refused;
  }
  process.stdout.write(`${file}: a good ${isSettings ? "settings file" : "config"}.\n`);
  return exit.well;
};

const sendFile = async (
  method: "PUT" | "PATCH",
  file: string,
  options: { at: string; base?: number; changeId?: string },
): Promise<number> => {
  const read = await readJson(file);
  return read ? send(options.at, method, "/config", read.text, changeHeaders(options)) : exit.usage;
};

program
  .command("run [file]", "Run this machine's daemon, with the settings of a file")
  .option("--settings <file>", "Settings file (JSON), in place of the argument; flags go before it")
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
  .action((file: string | undefined, options: RunOptions) => {
    ending = runDaemon(file, options);
  });

const atOption = "Operators' address of any daemon";
program
  .command("ask <...words>", "Ask or order in the small language")
  .option("--at <ip:port>", atOption, { default: atDefault })
  .example(
    `  daledoor ask show service checklists\n${QUERY_FORMS.map((form) => `  daledoor ask ${form}`).join("\n")}`,
  )
  .action((words: string[], options: { at: string }) => {
    ending = send(options.at, "POST", "/ask", words.join(" "));
  });
for (const method of ["PUT", "PATCH"] as const) {
  program
    .command(
      `${method.toLowerCase()} <file>`,
      method === "PUT"
        ? "Put a whole config in force"
        : "Change parts of the config (JSON merge patch)",
    )
    .option("--at <ip:port>", atOption, { default: atDefault })
    .option("--base <sequence>", "Only if this config is in force")
    .option("--change-id <id>", "Name of the change; a repeat under it returns the first outcome")
    .action((file: string, options: { at: string; base?: number; changeId?: string }) => {
      ending = sendFile(method, file, options);
    });
}
program
  .command("get [sequence]", "Read back the config in force, or an earlier one, or `history`")
  .option("--at <ip:port>", atOption, { default: atDefault })
  .action((sequence: string | undefined, options: { at: string }) => {
    ending = send(options.at, "GET", sequence === undefined ? "/config" : `/config/${sequence}`);
  });
program
  .command(
    "restore",
    "Restore the record from this recorder alone, when a majority is lost for good (the daemon must not run)",
  )
  .option("--settings <file>", "Settings file of this recorder")
  .option("--accept-loss", "Do it, knowing that what only the lost recorders held is gone")
  .action((options: RunOptions & { acceptLoss?: boolean }) => {
    ending = restoreRecord(options);
  });
program
  .command("check <file>", "Check a settings file or a config without sending it")
  .action((file: string) => {
    ending = checkFile(file);
  });
program
  .command("status", "Show how one daemon stands")
  .option("--at <ip:port>", atOption, { default: atDefault })
  .action((options: { at: string }) => {
    ending = send(options.at, "GET", "/status");
  });
program.help();
program.version("0.1.0");

try {
  program.parse(process.argv, { run: false });
  const helped = process.argv.some((word) => ["-h", "--help", "-v", "--version"].includes(word));
  if (!program.matchedCommand && !helped) {
    complain(`There is no command "${process.argv[2] ?? ""}". See daledoor --help.`);
    process.exitCode = exit.usage;
  } else if (!helped) {
    program.runMatchedCommand();
    if (ending) process.exit(await ending);
  }
} catch (error) {
  complain(error instanceof Error ? error.message : String(error));
  process.exitCode = exit.usage;
}
