/** One client connection of an HTTP server: its requests in order of arrival, and its orderly close. */
import type { Socket } from "node:net";

/** A request that was read from a connection and whose response isn't completely sent yet. */
export interface PendingRequest {
  /** Whether it waits for earlier responses, so that no backend has received it. */
  readonly isWaiting: boolean;
}

/** An ended connection is closed once its client has sent nothing for this time. */
const LINGER_MS = 1000;
/** Maximum time until an ended connection is closed. */
const MAX_LINGER_MS = 30_000;

/** Calls back after the event loop has accepted the connections and read the requests that have arrived. */
export const afterNextPoll = (run: () => void): void => {
  setImmediate(() => setImmediate(run));
};

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
  private readonly socket: Socket;
  private readonly pending: PendingRequest[] = [];
  /** The request whose response closes the connection; requests behind it count as not received. */
  private closingRequest: PendingRequest | undefined;
  private isEnded = false;

  constructor(socket: Socket) {
    this.socket = socket;
    socket.once("close", () => this.onClose());
    // The HTTP library closes a connection by this method once the response that closes it is sent.
    socket.destroySoon = () => this.end();
  }

  /** Number of requests whose responses aren't completely handed to the operating system. */
  get pendingCount(): number {
    return this.pending.length;
  }

  /** Whether further requests count as not received. */
  get isClosing(): boolean {
    return this.closingRequest !== undefined || this.isEnded;
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
    if (request === this.closingRequest) this.end();
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

  /** Whether the connection closes with the response to this request. */
  closesAfter(request: PendingRequest): boolean {
    return this.closingRequest === request;
  }

  /** Closes the connection with the response to a request. */
  closeAfter(request: PendingRequest): void {
    this.closingRequest ??= request;
  }

  /**
   * Closes the connection with the response to the last request that may have reached a backend. Does nothing while there is
   * none.
   */
  closeAfterLastForwarded(): void {
    const last = this.pending.findLast(({ isWaiting }) => !isWaiting);
    if (last) this.closeAfter(last);
  }

  /** Ends the connection once no request is pending, those included that have arrived but aren't read yet. */
  endWhenIdle(): void {
    this.whenIdle(() => afterNextPoll(() => (this.pendingCount > 0 ? undefined : this.end())));
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

  /** Sends a last text that answers no request, and ends the connection. */
  endWith(text: string): void {
    if (!this.socket.writable) return;
    this.socket.write(text);
    this.end();
  }

  /**
   * Sends what is written and then the end of the stream, and reads on until the client closes its side. To close with
   * unread bytes would reset the connection, and the client could lose responses that it hasn't read yet.
   */
  private end(): void {
    if (this.isEnded || this.isClosed) return;
    this.isEnded = true;
    const { socket } = this;
    socket.end();
    socket.resume();
    const endedMs = performance.now();
    let readBytes = socket.bytesRead;
    const timer = setInterval(() => {
      const isSilent = socket.writableFinished && socket.bytesRead === readBytes;
      readBytes = socket.bytesRead;
      if (isSilent || performance.now() - endedMs > MAX_LINGER_MS) socket.destroy();
    }, LINGER_MS);
    socket.once("close", () => clearInterval(timer));
  }

  private onClose(): void {
    this.isClosed = true;
    for (const listener of [...this.closeListeners]) listener();
  }
}
