/** One client connection of an HTTP server: its requests in order of arrival. */
import type { Socket } from "node:net";

/** A request that was read from a connection and whose response isn't completely sent yet. */
export interface PendingRequest {
  /** Whether it waits for earlier responses, so that no backend has received it. */
  readonly isWaiting: boolean;
}

/** The state of one client connection, shared by its requests. */
export class HttpConnection {
  isClosed = false;
  /** Called when the connection closes. */
  readonly closeListeners = new Set<() => void>();
  /** Called when a response on the connection ends. */
  readonly responseListeners = new Set<() => void>();
  /** Number of requests received so far. */
  receivedCount = 0;
  /** Ends the request whose body is being read; undefined if none is. */
  private bodyFailure: (() => void) | undefined;
  private readonly pending: PendingRequest[] = [];
  /** The request whose response closes the connection; requests behind it count as not received. */
  private closingRequest: PendingRequest | undefined;

  constructor(socket: Socket) {
    socket.once("close", () => this.onClose());
  }

  /** Number of requests whose responses aren't completely handed to the operating system. */
  get pendingCount(): number {
    return this.pending.length;
  }

  /** Whether a response that closes the connection was begun. */
  get isClosing(): boolean {
    return this.closingRequest !== undefined;
  }

  /** Adds a request that was just read. */
  add(request: PendingRequest): void {
    this.receivedCount += 1;
    this.pending.push(request);
  }

  /** Removes a request whose response was sent, and tells those that wait for it. */
  remove(request: PendingRequest): void {
    const index = this.pending.indexOf(request);
    if (index >= 0) this.pending.splice(index, 1);
    for (const listener of [...this.responseListeners]) listener();
  }

  /** Whether all requests before this one have their responses. */
  isFirst(request: PendingRequest): boolean {
    return this.pending[0] === request;
  }

  /** Whether the connection closes with the response to an earlier request. */
  isBehindClose(request: PendingRequest): boolean {
    const { closingRequest, pending } = this;
    if (closingRequest === undefined || closingRequest === request) return false;
    return pending.indexOf(closingRequest) < pending.indexOf(request);
  }

  /** Notes that the connection closes with the response to a request. */
  closeAfter(request: PendingRequest): void {
    this.closingRequest ??= request;
  }

  /** Calls back once no request is pending, immediately if none is; never after the connection has closed. */
  whenIdle(run: () => void): void {
    if (this.isClosed) return;
    if (this.pending.length === 0) return run();
    const check = (): void => {
      if (this.pending.length > 0) return;
      this.responseListeners.delete(check);
      if (!this.isClosed) run();
    };
    this.responseListeners.add(check);
  }

  /** Sets how the request whose body is being read ends if the rest of the body is malformed; undefined after the body. */
  setBodyFailure(fail: (() => void) | undefined): void {
    this.bodyFailure = fail;
  }

  /** Ends the request whose body is being read; false if none is. */
  failBody(): boolean {
    const { bodyFailure } = this;
    this.bodyFailure = undefined;
    bodyFailure?.();
    return bodyFailure !== undefined;
  }

  private onClose(): void {
    this.isClosed = true;
    for (const listener of [...this.closeListeners]) listener();
  }
}
