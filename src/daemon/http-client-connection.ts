import type { IncomingMessage, ServerResponse } from "node:http";
import type { ClientConnection } from "../proxy/proxy-request.js";
import type { ClientResponse } from "../proxy/request-outcome.js";
import type { LinkPacer, Transfer, TransferClass } from "../runtime/link-pacer.js";
import { Task } from "../runtime/task.js";

/** What is heard of one caller's connection. */
export interface HttpConnectionState {
  isOver: boolean;
  /** Hear when it is over. */
  readonly over: Set<() => void>;
  /** Its requests that are not answered yet, in the order in which they came. */
  readonly unanswered: HttpClientConnection[];
  /** An answer was given that closes it: what came behind that one counts as not read. */
  isClosing: boolean;
  /** Hear when a request is answered. */
  readonly answered: Set<() => void>;
}

/** A connection of which nothing is heard yet. */
export const newHttpConnectionState = (): HttpConnectionState => ({
  isOver: false,
  over: new Set(),
  unanswered: [],
  isClosing: false,
  answered: new Set(),
});

/** What the responses of one server have in common. */
export interface ResponseContext {
  /** Whether callers are asked to open another connection. */
  isClosing(): boolean;
  /** The link that responses leave by. */
  readonly egress: LinkPacer;
  readonly transferClass: TransferClass;
  /** How many whole responses are being written. */
  unfinished: number;
}

/** About how many bytes the head of a response takes. */
const headBytes = 300;

/** The way back to the caller of one request: large bodies are written in turns with all others on the link. */
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
    connection.unanswered.push(this);
    response.once("close", () => this.leave());
  }

  get isClosed(): boolean {
    return this.connection.isOver;
  }

  onClosed(run: () => void): () => void {
    const { over } = this.connection;
    over.add(run);
    return () => over.delete(run);
  }

  /** Waits until all that came before on the connection is answered; false where the connection ends before. */
  *awaitTurn(): Task<boolean> {
    const { connection } = this;
    while (connection.unanswered[0] !== this && !connection.isOver) {
      yield* Task.wait<true>((done) => {
        const go = (): void => {
          connection.answered.delete(go);
          connection.over.delete(go);
          done(true);
        };
        connection.answered.add(go);
        connection.over.add(go);
      });
    }
    return !connection.isOver && !connection.isClosing;
  }

  respond({ code, headers, body }: ClientResponse): void {
    const { request, response, context } = this;
    const isBodiless = request.method === "HEAD" || code === 204 || code === 304;
    this.head(code, isBodiless ? headers : { ...headers, "content-length": String(body.length) });
    if (isBodiless || body.length <= context.egress.smallBytes) {
      context.egress.note(headBytes + (isBodiless ? 0 : body.length));
      response.end(isBodiless ? undefined : body);
      return;
    }
    Task.start(this.written(body), () => response.destroy());
  }

  writeHead(code: number, headers: Record<string, string>): void {
    this.head(code, headers);
    this.beginTransfer(Number(headers["content-length"] ?? 0));
  }

  *writeChunk(bytes: Uint8Array): Task<boolean> {
    const { turnBytes } = this.context.egress;
    const transfer = this.transfer ?? this.beginTransfer(bytes.length);
    for (let at = 0; at < bytes.length; at += turnBytes) {
      const part = bytes.subarray(at, at + turnBytes);
      yield* transfer.turn(part.length);
      if (!(yield* this.accepted(part))) {
        transfer.end();
        return false;
      }
    }
    return !this.connection.isOver;
  }

  end(): void {
    this.transfer?.end();
    this.response.end();
  }

  abort(): void {
    this.transfer?.end();
    this.response.destroy();
  }

  private *written(body: Uint8Array): Task {
    this.context.unfinished += 1;
    try {
      this.beginTransfer(body.length);
      if (yield* this.writeChunk(body)) this.end();
    } finally {
      this.context.unfinished -= 1;
    }
  }

  private leave(): void {
    const { unanswered, answered } = this.connection;
    const at = unanswered.indexOf(this);
    if (at >= 0) unanswered.splice(at, 1);
    for (const hear of [...answered]) hear();
  }

  private head(code: number, headers: Record<string, string>): void {
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

  /** Writes a part and waits until the connection takes more; false once the connection is over. */
  private *accepted(part: Uint8Array): Task<boolean> {
    const { response, connection } = this;
    if (connection.isOver) return false;
    if (response.write(part)) return true;
    yield* Task.wait<true>((done) => {
      const go = (): void => {
        response.off("drain", go);
        connection.over.delete(go);
        done(true);
      };
      response.once("drain", go);
      connection.over.add(go);
    });
    return !connection.isOver;
  }
}
