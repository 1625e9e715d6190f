/** The HTTP/1.1 server of a daemon: limits requests, buffers small bodies and streams large ones. */
import { createServer, type IncomingMessage, type Server, type ServerResponse } from "node:http";
import { Server as NetServer, Socket } from "node:net";
import type { Duplex } from "node:stream";
import type { ClientConnection, ProxyRequest } from "../proxy/proxy-request.js";
import { jsonResponse } from "../proxy/request-outcome.js";
import { systemClock } from "../runtime/clock.js";
import { LinkPacer, type TransferClass } from "../runtime/link-pacer.js";
import { Address, ListenError } from "../runtime/network.js";
import { type Task, waitFor } from "../runtime/task.js";
import { handleClientError, rejectMessage } from "./client-error.js";
import { HttpClientConnection, type ResponseContext } from "./http-client-connection.js";
import { HttpConnection, afterNextPoll } from "./http-connection.js";
import { discardBody, RequestBodyAbortedError, streamBody } from "./request-body.js";

/** Limits on requests and idle connections. */
export interface ServerLimits {
  readonly headerBytes: number;
  readonly bodyBytes: number;
  /** Maximum time until the headers of a request are complete. */
  readonly headerMs: number;
  /** Maximum time that a connection may be idle between requests. */
  readonly idleMs: number;
}

/** Options of a server. */
export interface ServerOptions {
  /** Whether request bodies are always buffered, whatever their size. */
  readonly bufferWholeBodies?: boolean;
  /** The pacer of the link on which responses are sent. */
  readonly egress?: LinkPacer;
  /** The transfer class of large responses on that link. */
  readonly transferClass?: TransferClass;
}

const DEFAULT_LIMITS: ServerLimits = {
  headerBytes: 16 * 1024,
  bodyBytes: 64 * 1024 * 1024,
  headerMs: 10_000,
  idleMs: 15_000,
};
/** The parser's limit on the size of headers, above any value that `headerBytes` may have. */
const MAX_PARSED_HEADER_BYTES = 256 * 1024;
/** Maximum number of connections that wait to be accepted. */
const BACKLOG = 1024;
/** Interval at which connections are checked for the timeout of their headers. */
const CONNECTION_CHECK_INTERVAL_MS = 1000;
/** A body up to this size is buffered before its request is handled; the rest of a larger body is streamed. */
export const BUFFERED_BODY_BYTES = 256 * 1024;

/** The request whose body is read, with the length that its headers declare. */
interface BodyTarget {
  readonly response: ServerResponse;
  readonly client: ClientConnection;
  readonly connection: HttpConnection;
  readonly declaredBytes: number;
}

const headersOf = (request: IncomingMessage): Record<string, string> => {
  const headers: Record<string, string> = {};
  for (const name in request.headers) {
    const value = request.headers[name];
    if (value !== undefined) headers[name] = typeof value === "string" ? value : value.join(", ");
  }
  return headers;
};

/** Size of a request line without its method and target, and of the separator after a header's name or value. */
const REQUEST_LINE_BYTES = 12;
const HEADER_SEPARATOR_BYTES = 2;

const headerBytesOf = (request: IncomingMessage): number => {
  let bytes = (request.url?.length ?? 0) + (request.method?.length ?? 0) + REQUEST_LINE_BYTES;
  for (const nameOrValue of request.rawHeaders)
    bytes += nameOrValue.length + HEADER_SEPARATOR_BYTES;
  return bytes;
};

const refuse = (client: ClientConnection, code: number, error: string): void =>
  client.respond(jsonResponse(code, { error, verdict: "neverRan" }, { connection: "close" }));

/** An HTTP/1.1 server that passes each request to a handler, with its body buffered if it is small. */
export class HttpServer {
  private readonly server: Server;
  private readonly handle: (clientRequest: ProxyRequest, client: ClientConnection) => void;
  private readonly buffersWholeBodies: boolean;
  private readonly connections = new Map<Socket, HttpConnection>();
  private limits: ServerLimits = DEFAULT_LIMITS;
  private isClosing = false;
  private acceptedCount = 0;
  private readonly responses: ResponseContext;

  constructor(
    handle: (clientRequest: ProxyRequest, client: ClientConnection) => void,
    {
      bufferWholeBodies: buffersWholeBodies = true,
      egress = new LinkPacer(systemClock(), undefined),
      transferClass = "response",
    }: ServerOptions = {},
  ) {
    this.handle = handle;
    this.buffersWholeBodies = buffersWholeBodies;
    this.responses = {
      isClosing: () => this.isClosing,
      egress,
      transferClass,
    };
    this.server = createServer(
      {
        maxHeaderSize: MAX_PARSED_HEADER_BYTES,
        connectionsCheckingInterval: CONNECTION_CHECK_INTERVAL_MS,
        noDelay: true,
      },
      (request, response) => this.onRequest(request, response),
    );
    this.server.on("connection", (socket) => this.onConnection(socket));
    this.server.on("clientError", (error, socket) => this.onClientError(error, socket));
    this.server.on("connect", ({ socket }: IncomingMessage) => {
      const connection = this.connections.get(socket);
      connection?.whenIdle(() => rejectMessage(connection, 405));
    });
    this.server.requestTimeout = 0;
    this.setLimits(DEFAULT_LIMITS);
  }

  /** Sets the limits on subsequent requests; each limit that is undefined returns to its default. */
  setLimits({
    headerBytes,
    bodyBytes,
    headerMs,
    idleMs,
  }: { readonly [name in keyof ServerLimits]?: number | undefined }): void {
    this.limits = {
      headerBytes: headerBytes ?? DEFAULT_LIMITS.headerBytes,
      bodyBytes: bodyBytes ?? DEFAULT_LIMITS.bodyBytes,
      headerMs: headerMs ?? DEFAULT_LIMITS.headerMs,
      idleMs: idleMs ?? DEFAULT_LIMITS.idleMs,
    };
    this.server.headersTimeout = this.limits.headerMs;
    this.server.keepAliveTimeout = this.limits.idleMs;
  }

  /** Listens on an address; throws a ListenError if that fails. */
  *listen(address: string): Task {
    const { server } = this;
    const outcome = yield* waitFor<Error | "listening">((done) => {
      server.once("error", done);
      server.listen({ ...Address.parse(address), backlog: BACKLOG }, () => done("listening"));
    });
    if (outcome !== "listening")
      throw new ListenError(`Can't listen for HTTP on ${address}.`, { cause: outcome });
  }

  /** Closes each client connection with the response to the last request on it; open connections are served until then. */
  closeClientConnections(): void {
    this.isClosing = true;
    for (const connection of this.connections.values()) connection.closeAfterLastForwarded();
  }

  /**
   * Stops accepting connections, and closes each one once the requests that have arrived on it are answered. Connections that
   * wait to be accepted are accepted first: to stop listening would reset them.
   */
  close(): void {
    this.closeClientConnections();
    this.whenAllAccepted(() => {
      // The HTTP library's own `close` destroys connections whose responses aren't sent yet.
      NetServer.prototype.close.call(this.server);
      for (const connection of this.connections.values()) connection.endWhenIdle();
    });
  }

  /** Number of requests whose responses aren't completely handed to the operating system. */
  get unfinishedResponses(): number {
    let count = 0;
    for (const { pendingCount } of this.connections.values()) count += pendingCount;
    return count;
  }

  /** Number of open connections. */
  get connectionCount(): number {
    return this.connections.size;
  }

  /** Closes all remaining connections. */
  closeConnections(): void {
    this.server.closeAllConnections();
  }

  /** Calls back once a poll of the event loop, which accepts one connection at a time, has accepted none. */
  private whenAllAccepted(run: () => void, remainingPolls = BACKLOG): void {
    const { acceptedCount } = this;
    afterNextPoll(() => {
      if (acceptedCount === this.acceptedCount || remainingPolls === 0) run();
      else this.whenAllAccepted(run, remainingPolls - 1);
    });
  }

  private onConnection(socket: Socket): void {
    this.acceptedCount += 1;
    this.connections.set(socket, new HttpConnection(socket));
    socket.once("close", () => this.connections.delete(socket));
  }

  private onClientError(error: Error, socket: Duplex): void {
    const connection = socket instanceof Socket ? this.connections.get(socket) : undefined;
    if (!(socket instanceof Socket) || !connection) {
      socket.destroy();
      return;
    }
    const { headerMs } = this.limits;
    handleClientError(error, socket, connection, { clock: systemClock(), headerMs });
  }

  private onRequest(request: IncomingMessage, response: ServerResponse): void {
    const connection = this.connections.get(request.socket);
    if (!connection) {
      request.destroy();
      return;
    }
    if (connection.isClosing) {
      request.resume();
      return;
    }
    const client = new HttpClientConnection(request, response, connection, this.responses);
    const { headerBytes, bodyBytes } = this.limits;
    request.on("error", () => undefined);
    response.on("error", () => undefined);
    const declaredBytes = Number(request.headers["content-length"] ?? 0);
    if (headerBytesOf(request) > headerBytes)
      return refuse(client, 431, `The request headers exceed the limit of ${headerBytes} bytes.`);
    if (declaredBytes > bodyBytes)
      return refuse(client, 413, `The request body exceeds the limit of ${bodyBytes} bytes.`);
    if (declaredBytes === 0 && request.headers["transfer-encoding"] === undefined) {
      request.resume();
      return this.forward(request, client, new Uint8Array());
    }
    this.readBody(request, { response, client, connection, declaredBytes });
  }

  private forward(
    request: IncomingMessage,
    client: ClientConnection,
    body: Uint8Array,
    rest?: AsyncIterable<Uint8Array>,
  ): void {
    const clientRequest = {
      method: request.method ?? "",
      target: request.url ?? "/",
      headers: headersOf(request),
      body,
    };
    this.handle(rest ? { ...clientRequest, bodyRemainder: rest } : clientRequest, client);
  }

  /** Buffers a body to its end, or up to `BUFFERED_BODY_BYTES` and streams the rest. */
  private readBody(
    request: IncomingMessage,
    { response, client, connection, declaredBytes }: BodyTarget,
  ): void {
    const { bodyBytes } = this.limits;
    const chunks: Buffer[] = [];
    let bufferedBytes = 0;
    let isHandled = false;
    const isStillBuffered = (): boolean =>
      this.buffersWholeBodies ||
      bufferedBytes <= BUFFERED_BODY_BYTES ||
      bufferedBytes === declaredBytes;
    const onData = (chunk: Buffer): void => {
      bufferedBytes += chunk.length;
      if (isHandled) return;
      if (bufferedBytes > bodyBytes) {
        isHandled = true;
        chunks.length = 0;
        return refuse(client, 413, `The request body exceeds the limit of ${bodyBytes} bytes.`);
      }
      chunks.push(chunk);
      if (isStillBuffered()) return;
      isHandled = true;
      connection.setBodyFailure(() => request.destroy());
      request.off("data", onData);
      request.pause();
      let remainder: "unread" | "streamed" | "discarded" = "unread";
      response.once("close", () => {
        if (remainder === "streamed") return;
        remainder = "discarded";
        discardBody(request, bufferedBytes, bodyBytes);
      });
      const onStart = (): void => {
        if (remainder === "discarded")
          throw new RequestBodyAbortedError("The request was answered before its body was read.");
        remainder = "streamed";
      };
      const rest = streamBody(request, bufferedBytes, bodyBytes, onStart);
      this.forward(request, client, Buffer.concat(chunks), rest);
    };
    connection.setBodyFailure(() => {
      if (isHandled) return;
      isHandled = true;
      refuse(client, 400, "The request body is malformed.");
    });
    request.on("data", onData);
    request.on("end", () => {
      connection.setBodyFailure(undefined);
      if (isHandled || !request.complete) return;
      isHandled = true;
      this.forward(request, client, Buffer.concat(chunks));
    });
  }
}
