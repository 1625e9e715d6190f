/** Calls to one peer whose responses haven't arrived yet. */

/** Takes the body of a response, or `undefined` where the connection broke. */
export type CallHandler = (body: Uint8Array | undefined) => void;

/** Handlers of responses by the id of their request. */
export class PendingCalls {
  private readonly handlers = new Map<number, CallHandler>();

  /** Sets the handler of a response. */
  add(requestId: number, handler: CallHandler): void {
    this.handlers.set(requestId, handler);
  }

  /** Forgets a call; its response is dropped. */
  remove(requestId: number): void {
    this.handlers.delete(requestId);
  }

  /** Hands a response to its call, where that is still pending. */
  settle(requestId: number, body: Uint8Array): void {
    this.handlers.get(requestId)?.(body);
  }

  /** Ends all calls without a response. */
  failAll(): void {
    for (const handler of [...this.handlers.values()]) handler(undefined);
  }
}
