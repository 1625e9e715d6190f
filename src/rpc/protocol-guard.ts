/** Handling of protocol violations by peers. */
import { StructError } from "superstruct";
import type { Logger } from "../runtime/logger.js";
import type { Connection } from "../runtime/network.js";
import { FrameError } from "./frame.js";

const isProtocolError = (error: unknown): error is Error =>
  error instanceof FrameError || error instanceof StructError || error instanceof SyntaxError;

/** Closes connections whose peers violate the protocol, and counts the violations. */
export class ProtocolGuard {
  private readonly log: Logger;
  private violationCount = 0;

  constructor(log: Logger) {
    this.log = log;
  }

  /** Number of violations. */
  get violations(): number {
    return this.violationCount;
  }

  /** Closes the connection if the error is a protocol violation by the peer; rethrows any other error. */
  closeOnViolation(connection: Connection | undefined, error: unknown): void {
    if (!isProtocolError(error)) throw error;
    this.violationCount += 1;
    this.log.warn("frame refused, connection closed", { why: error.message });
    connection?.close();
  }
}
