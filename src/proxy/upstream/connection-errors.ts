/** Errors of connections to backends. */

/** A request was sent on a closed connection. Connections are not reopened, so that their service proofs stay valid. */
export class ConnectionClosedError extends Error {
  readonly code = "CONNECTION_CLOSED";

  constructor() {
    super("The connection to the backend is closed.");
    this.name = "ConnectionClosedError";
  }
}

/** A response that can't be paused exceeds the maximum buffer size. */
export class ResponseBufferOverflowError extends Error {
  readonly code = "RESPONSE_BUFFER_OVERFLOW";

  constructor(limitBytes: number) {
    super(`A response that closes its connection exceeds the buffer of ${limitBytes} bytes.`);
    this.name = "ResponseBufferOverflowError";
  }
}
