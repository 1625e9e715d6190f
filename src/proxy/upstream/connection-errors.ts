/** Errors of connections to backends. */

/** A connection that has ended was asked to open again: a connection opens once, so that its service proof stays valid. */
export class ConnectionClosedError extends Error {
  readonly code = "CONNECTION_CLOSED";

  constructor() {
    super("The connection to the backend has ended.");
    this.name = "ConnectionClosedError";
  }
}

/** More arrived of a response than may be buffered of one that can't be paused. */
export class ResponseBufferOverflowError extends Error {
  readonly code = "RESPONSE_BUFFER_OVERFLOW";

  constructor(limitBytes: number) {
    super(`More than ${limitBytes} bytes of a closing response are unread.`);
    this.name = "ResponseBufferOverflowError";
  }
}
