/** `daledoor status`: shows the status of one daemon. */
import { ADMIN_ADDRESS_HELP, DEFAULT_ADMIN_ADDRESS, sendAdminRequest } from "../admin-request.js";
import type { CommandDefinition } from "../command.js";

/** Adds the command `status`. */
export const addStatusCommand: CommandDefinition = (program, start) => {
  program
    .command("status", "Show the status of one daemon")
    .option("--at <ip:port>", ADMIN_ADDRESS_HELP, { default: DEFAULT_ADMIN_ADDRESS })
    .action(({ at }: { at: string }) =>
      start(sendAdminRequest({ address: at, method: "GET", path: "/status" })),
    );
};
