/** Requests of the command line to the admin API of a daemon. */
import { request } from "undici";
import { ExitCode } from "./exit-code.js";
import { errorMessage, printError } from "./output.js";

const RESPONSE_TIMEOUT_MS = 10_000;

/** The admin API's address where a command names none. */
export const DEFAULT_ADMIN_ADDRESS = process.env.DALEDOOR_AT ?? "127.0.0.1:7070";

/** The help text of the option that names the address. */
export const ADMIN_ADDRESS_HELP = "Operators' address of any daemon";

/** One request to the admin API. */
export interface AdminRequest {
  /** IP:port of the daemon. */
  readonly address: string;
  readonly method: "GET" | "PUT" | "PATCH" | "POST";
  readonly path: string;
  readonly body?: string;
  readonly headers?: Record<string, string>;
}

const exitCodeOf = (statusCode: number): number => {
  if (statusCode < 300) return ExitCode.success;
  return statusCode >= 500 ? ExitCode.failure : ExitCode.refused;
};

const formatted = (text: string): string => {
  try {
    return `${JSON.stringify(JSON.parse(text), null, 2)}\n`;
  } catch {
    printError("The return is not JSON.");
    return text;
  }
};

/** Sends a request and prints its response, an error response on the error stream; resolves to the exit code. */
export const sendAdminRequest = async ({
  address,
  method,
  path,
  body,
  headers = {},
}: AdminRequest): Promise<number> => {
  try {
    const response = await request(`http://${address}${path}`, {
      method,
      headers,
      body: body ?? null,
      headersTimeout: RESPONSE_TIMEOUT_MS,
    });
    const shown = formatted(await response.body.text());
    const isSuccess = response.statusCode < 300;
    (isSuccess ? process.stdout : process.stderr).write(shown);
    return exitCodeOf(response.statusCode);
  } catch (error) {
    printError(`${address} can't be reached: ${errorMessage(error)}`);
    return ExitCode.unreachable;
  }
};
