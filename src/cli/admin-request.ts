/** Sends requests from the command line to the admin API of a daemon. */
import { request } from "undici";
import { ExitCode } from "./exit-code.js";
import { errorMessage, printError } from "./output.js";

const RESPONSE_TIMEOUT_MS = 10_000;

/** The default address of the admin API. */
export const DEFAULT_ADMIN_ADDRESS = process.env.DALEDOOR_AT ?? "127.0.0.1:7070";

/** The help text of the option `--at`. */
export const ADMIN_ADDRESS_HELP = "Address of any daemon's admin API";

/** A request to the admin API. */
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

const formatJson = (text: string): string => {
  try {
    return `${JSON.stringify(JSON.parse(text), null, 2)}\n`;
  } catch {
    printError("The response is not JSON.");
    return text;
  }
};

/** Sends a request and prints its response, on standard error if it is an error; resolves to the exit code. */
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
    const text = formatJson(await response.body.text());
    const isSuccess = response.statusCode < 300;
    (isSuccess ? process.stdout : process.stderr).write(text);
    return exitCodeOf(response.statusCode);
  } catch (error) {
    printError(`Can't connect to ${address}: ${errorMessage(error)}`);
    return ExitCode.unreachable;
  }
};
