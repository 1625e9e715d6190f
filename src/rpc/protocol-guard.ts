/** What happens to connections over which something arrives that doesn't follow the protocol. */
import { StructError } from "superstruct";
import type { Logger } from "../runtime/logger.js";
import type { Connection } from "../runtime/network.js";
import { FrameError } from "./frame.js";

const isProtocolError = (error: unknown): error is Error =>
  error instanceof FrameError || error instanceof StructError || error instanceof SyntaxError;

/** Closes connections whose peers violate the protocol, and counts them. */
export class ProtocolGuard {
  private readonly log: Logger;
  private count = 0;

  constructor(log: Logger) {
    this.log = log;
  }

  /** How many violations there were. */
  get violations(): number {
    return this.count;
  }

  /** Closes the connection on which an error was raised by what a peer sent; any other error is thrown on. */
  closeOnViolation(connection: Connection | undefined, error: unknown): void {
    if (!isProtocolError(error)) throw error;
    this.count += 1;
    this.log.warn("frame refused, connection closed", { why: error.message });
    connection?.close();
  }
}
