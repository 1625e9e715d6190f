/** Sends the response to an HTTP request: in order on its connection, with backpressure, and paced on the machine's link. */
import type { IncomingMessage, ServerResponse } from "node:http";
import type { ClientConnection } from "../proxy/proxy-request.js";
import type { ClientResponse } from "../proxy/request-outcome.js";
import type { LinkPacer, Transfer, TransferClass } from "../runtime/link-pacer.js";
import { type Task, waitFor, runTask } from "../runtime/task.js";
import type { HttpConnection, PendingRequest } from "./http-connection.js";

/** The state that all responses of one server share. */
export interface ResponseContext {
  /** Whether connections close with the next response. */
  isClosing(): boolean;
  /** The pacer of the link on which responses are sent. */
  readonly egress: LinkPacer;
  readonly transferClass: TransferClass;
}

/** Approximate size of a response's status line and headers. */
const RESPONSE_HEAD_BYTES = 300;

/** Sends the response to one request. Large bodies take turns on the link with all other transfers. */
export class HttpClientConnection implements ClientConnection, PendingRequest {
  dueMs = Infinity;
  isWaiting = false;
  private readonly request: IncomingMessage;
  private readonly response: ServerResponse;
  private readonly connection: HttpConnection;
  private readonly context: ResponseContext;
  private transfer: Transfer | undefined;

  constructor(
    request: IncomingMessage,
    response: ServerResponse,
    connection: HttpConnection,
    context: ResponseContext,
  ) {
    this.request = request;
    this.response = response;
    this.connection = connection;
    this.context = context;
    connection.add(this);
    if (context.isClosing()) connection.closeAfter(this);
    response.once("close", () => connection.remove(this));
  }

  get isClosed(): boolean {
    return this.connection.isClosed;
  }

  onClosed(run: () => void): () => void {
    const { closeListeners } = this.connection;
    closeListeners.add(run);
    return () => closeListeners.delete(run);
  }

  /** Waits until all earlier requests on the connection have their responses; false if the connection closes first. */
  *awaitEarlierResponses(): Task<boolean> {
    const { connection } = this;
    this.isWaiting = true;
    while (!connection.isFirst(this) && !connection.isClosed) {
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
    this.isWaiting = false;
    return !connection.isClosed && !connection.isBehindClose(this);
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
    this.beginTransfer(body.length);
    if (yield* this.writeChunk(body)) this.end();
  }

  private sendHead(code: number, headers: Record<string, string>): void {
    if (headers["connection"] === "close") this.connection.closeAfter(this);
    const closes = this.connection.closesAfter(this);
    const sentHeaders = closes ? { ...headers, connection: "close" } : headers;
    this.response.sendDate = false;
    this.response.writeHead(code, sentHeaders);
  }

  private beginTransfer(bytes: number): Transfer {
    const transfer = this.context.egress.begin(
      { transferClass: this.context.transferClass, dueMs: this.dueMs },
      bytes,
    );
    this.transfer = transfer;
    return transfer;
  }

  /** Writes a part and waits until the connection accepts more; false if the connection is closed. */
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
