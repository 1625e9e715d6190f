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
  const json = await readJsonFile(file);
  if (!json) return ExitCode.usage;
  return sendAdminRequest({
    address: options.at,
    method,
    path: "/config",
    body: json.text,
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
          ? "Replace the active config"
          : "Change parts of the active config (JSON merge patch)",
      )
      .option("--at <ip:port>", ADMIN_ADDRESS_HELP, { default: DEFAULT_ADMIN_ADDRESS })
      .option("--base <sequence>", "Apply the change only if this config is active")
      .option(
        "--change-id <id>",
        "Id of the change; a retry with the same id returns the first outcome",
      )
      .action((file: string, options: ChangeOptions) => start(sendFile(method, file, options)));
};

/** Adds the command `get`. */
export const addGetCommand: CommandDefinition = (program, start) => {
  program
    .command("get [sequence]", "Read the active config, an earlier one, or `history`")
    .option("--at <ip:port>", ADMIN_ADDRESS_HELP, { default: DEFAULT_ADMIN_ADDRESS })
    .action((sequence: string | undefined, { at }: { at: string }) => {
      const path = sequence === undefined ? "/config" : `/config/${sequence}`;
      start(sendAdminRequest({ address: at, method: "GET", path }));
    });
};
