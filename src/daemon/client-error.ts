/** Responds to protocol errors of a client connection, after the responses to the requests that arrived before the error. */
import { STATUS_CODES } from "node:http";
import type { Socket } from "node:net";
import type { Clock } from "../runtime/clock.js";
import type { HttpConnection } from "./http-connection.js";

/** The error code of the HTTP library for headers that weren't complete in time. */
const HEADER_TIMEOUT_CODE = "ERR_HTTP_REQUEST_TIMEOUT";
/** Prefix of the error codes of the HTTP library's parser. */
const PARSER_ERROR_PREFIX = "HPE_";
const HEADER_OVERFLOW_CODE = "HPE_HEADER_OVERFLOW";

const errorCodeOf = (error: Error): string =>
  "code" in error && typeof error.code === "string" ? error.code : "";

/** Sends a response to a message that can't be handled as a request, and closes the connection. */
export const rejectMessage = (connection: HttpConnection, status: number): void => {
  connection.endWith(
    `HTTP/1.1 ${status} ${STATUS_CODES[status] ?? ""}\r\nConnection: close\r\nContent-Length: 0\r\n\r\n`,
  );
};

/**
 * Handles headers that weren't complete in time. While responses to earlier requests are pending the connection may not be
 * read at all, so the time begins anew once they are sent.
 */
const onHeaderTimeout = (connection: HttpConnection, clock: Clock, headerMs: number): void => {
  if (connection.pendingCount === 0) return rejectMessage(connection, 408);
  const { receivedCount } = connection;
  connection.whenIdle(() =>
    clock.after(headerMs, () => {
      if (connection.receivedCount === receivedCount) rejectMessage(connection, 408);
    }),
  );
};

/** Handles an error that the HTTP library reports for a connection; `headerMs` is the time for the headers of a request. */
export const handleClientError = (
  error: Error,
  socket: Socket,
  connection: HttpConnection,
  { clock, headerMs }: { readonly clock: Clock; readonly headerMs: number },
): void => {
  const code = errorCodeOf(error);
  if (code === HEADER_TIMEOUT_CODE) return onHeaderTimeout(connection, clock, headerMs);
  if (!code.startsWith(PARSER_ERROR_PREFIX)) {
    socket.destroy();
    return;
  }
  if (connection.failBody()) return;
  const status = code === HEADER_OVERFLOW_CODE ? 431 : 400;
  connection.whenIdle(() => rejectMessage(connection, status));
};
