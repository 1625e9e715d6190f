/** The response side of an HTTP request: order on its connection, backpressure, and pacing on the machine's link. */
import type { IncomingMessage, ServerResponse } from "node:http";
import type { ClientConnection } from "../proxy/proxy-request.js";
import type { ClientResponse } from "../proxy/request-outcome.js";
import type { LinkPacer, Transfer, TransferClass } from "../runtime/link-pacer.js";
import { type Task, waitFor, runTask } from "../runtime/task.js";

/** The state of one client's connection, shared by its requests. */
export interface HttpConnectionState {
  isClosed: boolean;
  /** Listeners for its close. */
  readonly closeListeners: Set<() => void>;
  /** Its requests without a response yet, in order of arrival. */
  readonly pending: HttpClientConnection[];
  /** Whether a response that closes it was sent: requests after that one count as not received. */
  isClosing: boolean;
  /** Listeners for the end of a response. */
  readonly responseListeners: Set<() => void>;
}

/** The state of a connection that was just opened. */
export const createHttpConnectionState = (): HttpConnectionState => ({
  isClosed: false,
  closeListeners: new Set(),
  pending: [],
  isClosing: false,
  responseListeners: new Set(),
});

/** The state that the responses of one server share. */
export interface ResponseContext {
  /** Whether responses ask clients to close their connections. */
  isClosing(): boolean;
  /** The link that responses leave by. */
  readonly egress: LinkPacer;
  readonly transferClass: TransferClass;
  /** How many buffered responses are being written. */
  unfinishedResponses: number;
}

/** The approximate size of a response's head. */
const RESPONSE_HEAD_BYTES = 300;

/** The response side of one request: large bodies share the link in turns with all others. */
export class HttpClientConnection implements ClientConnection {
  dueMs = Infinity;
  private readonly request: IncomingMessage;
  private readonly response: ServerResponse;
  private readonly connection: HttpConnectionState;
  private readonly context: ResponseContext;
  private transfer: Transfer | undefined;

  constructor(
    request: IncomingMessage,
    response: ServerResponse,
    connection: HttpConnectionState,
    context: ResponseContext,
  ) {
    this.request = request;
    this.response = response;
    this.connection = connection;
    this.context = context;
    connection.pending.push(this);
    response.once("close", () => this.finish());
  }

  get isClosed(): boolean {
    return this.connection.isClosed;
  }

  onClosed(run: () => void): () => void {
    const { closeListeners } = this.connection;
    closeListeners.add(run);
    return () => closeListeners.delete(run);
  }

  /** Waits until all earlier requests of the connection have their responses; false where the connection closes first. */
  *awaitEarlierResponses(): Task<boolean> {
    const { connection } = this;
    while (connection.pending[0] !== this && !connection.isClosed) {
      yield* waitFor<true>((done) => {
        const resume = (): void => {
          connection.responseListeners.delete(resume);
          connection.closeListeners.delete(resume);
          done(true);
        };
        connection.responseListeners.add(resume);
        connection.closeListeners.add(resume);
      });
    }
    return !connection.isClosed && !connection.isClosing;
  }

  respond({ code, headers, body }: ClientResponse): void {
    const { request, response, context } = this;
    const isBodiless = request.method === "HEAD" || code === 204 || code === 304;
    this.sendHead(
      code,
      isBodiless ? headers : { ...headers, "content-length": String(body.length) },
    );
    if (isBodiless || body.length <= context.egress.smallBytes) {
      context.egress.recordBytes(RESPONSE_HEAD_BYTES + (isBodiless ? 0 : body.length));
      response.end(isBodiless ? undefined : body);
      return;
    }
    runTask(this.writeBody(body), () => response.destroy());
  }

  writeHead(code: number, headers: Record<string, string>): void {
    this.sendHead(code, headers);
    this.beginTransfer(Number(headers["content-length"] ?? 0));
  }

  *writeChunk(bytes: Uint8Array): Task<boolean> {
    const { turnBytes } = this.context.egress;
    const transfer = this.transfer ?? this.beginTransfer(bytes.length);
    for (let offset = 0; offset < bytes.length; offset += turnBytes) {
      const part = bytes.subarray(offset, offset + turnBytes);
      yield* transfer.awaitTurn(part.length);
      if (!(yield* this.writePart(part))) {
        transfer.end();
        return false;
      }
    }
    return !this.connection.isClosed;
  }

  end(): void {
    this.transfer?.end();
    this.response.end();
  }

  abort(): void {
    this.transfer?.end();
    this.response.destroy();
  }

  private *writeBody(body: Uint8Array): Task {
    this.context.unfinishedResponses += 1;
    try {
      this.beginTransfer(body.length);
      if (yield* this.writeChunk(body)) this.end();
    } finally {
      this.context.unfinishedResponses -= 1;
    }
  }

  private finish(): void {
    const { pending, responseListeners } = this.connection;
    const index = pending.indexOf(this);
    if (index >= 0) pending.splice(index, 1);
    for (const listener of [...responseListeners]) listener();
  }

  private sendHead(code: number, headers: Record<string, string>): void {
    const sent = this.context.isClosing() ? { ...headers, connection: "close" } : headers;
    if (sent["connection"] === "close") this.connection.isClosing = true;
    this.response.sendDate = false;
    this.response.writeHead(code, sent);
  }

  private beginTransfer(bytes: number): Transfer {
    const transfer = this.context.egress.begin(
      { transferClass: this.context.transferClass, dueMs: this.dueMs },
      bytes,
    );
    this.transfer = transfer;
    return transfer;
  }

  /** Writes a part and waits until the connection accepts more; false once it is closed. */
  private *writePart(part: Uint8Array): Task<boolean> {
    const { response, connection } = this;
    if (connection.isClosed) return false;
    if (response.write(part)) return true;
    yield* waitFor<true>((done) => {
      const resume = (): void => {
        response.off("drain", resume);
        connection.closeListeners.delete(resume);
        done(true);
      };
      response.once("drain", resume);
      connection.closeListeners.add(resume);
    });
    return !connection.isClosed;
  }
}
