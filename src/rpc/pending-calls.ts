/** Calls to one peer that wait for their responses. */

/** Handles the body of a response, or `undefined` if the connection failed. */
export type CallHandler = (body: Uint8Array | undefined) => void;

/** Response handlers by request id. */
export class PendingCalls {
  private readonly handlers = new Map<number, CallHandler>();

  /** Adds the handler of a response. */
  add(requestId: number, handler: CallHandler): void {
    this.handlers.set(requestId, handler);
  }

  /** Removes a call; its response is ignored. */
  remove(requestId: number): void {
    this.handlers.delete(requestId);
  }

  /** Passes a response to its call if it is still pending. */
  settle(requestId: number, body: Uint8Array): void {
    this.handlers.get(requestId)?.(body);
  }

  /** Ends all calls without a response. */
  failAll(): void {
    for (const handler of [...this.handlers.values()]) handler(undefined);
  }
}
