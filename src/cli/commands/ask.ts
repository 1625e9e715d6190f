/** `daledoor ask`: sends one query to the admin API. */
import { QUERY_FORMS } from "../../admin/query-parser.js";
import { ADMIN_ADDRESS_HELP, DEFAULT_ADMIN_ADDRESS, sendAdminRequest } from "../admin-request.js";
import type { CommandDefinition } from "../command.js";

/** Adds the command `ask`. */
export const addAskCommand: CommandDefinition = (program, start) => {
  program
    .command("ask <...words>", "Send a query, or a change that has a query form")
    .option("--at <ip:port>", ADMIN_ADDRESS_HELP, { default: DEFAULT_ADMIN_ADDRESS })
    .example(
      `  daledoor ask show service checklists\n${QUERY_FORMS.map((form) => `  daledoor ask ${form}`).join("\n")}`,
    )
    .action((words: string[], { at }: { at: string }) =>
      start(sendAdminRequest({ address: at, method: "POST", path: "/ask", body: words.join(" ") })),
    );
};
