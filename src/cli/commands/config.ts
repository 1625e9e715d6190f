/** `daledoor put`, `patch` and `get`: change and read the configuration. */
import { ADMIN_ADDRESS_HELP, DEFAULT_ADMIN_ADDRESS, sendAdminRequest } from "../admin-request.js";
import type { CommandDefinition } from "../command.js";
import { ExitCode } from "../exit-code.js";
import { readJsonFile } from "../json-file.js";

interface ChangeOptions {
  at: string;
  base?: number;
  changeId?: string;
}

const changeHeaders = ({ base, changeId }: ChangeOptions): Record<string, string> => ({
  ...(base === undefined ? {} : { "if-match": `"${base}"` }),
  ...(changeId === undefined ? {} : { "change-id": String(changeId) }),
});

const sendFile = async (
  method: "PUT" | "PATCH",
  file: string,
  options: ChangeOptions,
): Promise<number> => {
  const read = await readJsonFile(file);
  if (!read) return ExitCode.usage;
  return sendAdminRequest({
    address: options.at,
    method,
    path: "/config",
    body: read.text,
    headers: changeHeaders(options),
  });
};

/** Adds the commands `put` and `patch`. */
export const addChangeCommands: CommandDefinition = (program, start) => {
  for (const method of ["PUT", "PATCH"] as const)
    program
      .command(
        `${method.toLowerCase()} <file>`,
        method === "PUT"
          ? "Put a whole config in force"
          : "Change parts of the config (JSON merge patch)",
      )
      .option("--at <ip:port>", ADMIN_ADDRESS_HELP, { default: DEFAULT_ADMIN_ADDRESS })
      .option("--base <sequence>", "Only if this config is in force")
      .option("--change-id <id>", "Name of the change; a repeat under it returns the first outcome")
      .action((file: string, options: ChangeOptions) => start(sendFile(method, file, options)));
};

/** Adds the command `get`. */
export const addGetCommand: CommandDefinition = (program, start) => {
  program
    .command("get [sequence]", "Read back the config in force, or an earlier one, or `history`")
    .option("--at <ip:port>", ADMIN_ADDRESS_HELP, { default: DEFAULT_ADMIN_ADDRESS })
    .action((sequence: string | undefined, { at }: { at: string }) => {
      const path = sequence === undefined ? "/config" : `/config/${sequence}`;
      start(sendAdminRequest({ address: at, method: "GET", path }));
    });
};
