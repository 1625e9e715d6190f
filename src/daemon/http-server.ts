import { createServer, type IncomingMessage, type Server, type ServerResponse } from "node:http";
import type { Socket } from "node:net";
import type { ClientConnection, ProxyRequest } from "../proxy/proxy-request.js";
import { ClientResponse } from "../proxy/request-outcome.js";
import { Clock } from "../runtime/clock.js";
import { LinkPacer, type TransferClass } from "../runtime/link-pacer.js";
import { Address, ListenError } from "../runtime/network.js";
import { Task } from "../runtime/task.js";
import {
  HttpClientConnection,
  newHttpConnectionState,
  type HttpConnectionState,
  type ResponseContext,
} from "./http-client-connection.js";

/** What callers may send, and how long they may take or rest. */
export interface ServerLimits {
  readonly headerBytes: number;
  readonly bodyBytes: number;
  readonly headerMs: number;
  readonly idleMs: number;
}

/** How a server differs from the usual one. */
export interface ServerOptions {
  /** Whether bodies of requests are always held whole. */
  readonly wholeOnly?: boolean;
  /** The link that responses leave by, and their class among what is large. */
  readonly egress?: LinkPacer;
  readonly transferClass?: TransferClass;
}

const usual: ServerLimits = {
  headerBytes: 16 * 1024,
  bodyBytes: 64 * 1024 * 1024,
  headerMs: 10_000,
  idleMs: 15_000,
};
/** The parser's own bound on headers, over all that the limits may say. */
const parserHeaderBytes = 256 * 1024;
/** How often connections are looked through for headers that take too long. */
const lookMs = 1000;
/** A body up to this size is held whole before its request is handed on; of a larger one the rest follows as it comes. */
export const BUFFERED_BODY_BYTES = 256 * 1024;

/** Raised where a body breaks off or grows over its limit while it is passed on. */
export class RequestBodyAbortedError extends Error {}

const flat = (request: IncomingMessage): Record<string, string> => {
  const headers: Record<string, string> = {};
  for (const name in request.headers) {
    const value = request.headers[name];
    if (value !== undefined) headers[name] = typeof value === "string" ? value : value.join(", ");
  }
  return headers;
};

const restOf = async function* (
  request: IncomingMessage,
  heldBytes: number,
  limitBytes: number,
  begun: () => void,
): AsyncGenerator<Uint8Array> {
  begun();
  let sumBytes = heldBytes;
  try {
    for await (const piece of request.iterator({ destroyOnReturn: false })) {
      if (!(piece instanceof Uint8Array))
        throw new RequestBodyAbortedError("The body is not bytes.");
      sumBytes += piece.length;
      if (sumBytes > limitBytes) throw new RequestBodyAbortedError("The body is over its limit.");
      yield piece;
    }
    if (!request.complete) throw new RequestBodyAbortedError("The body was cut short.");
  } finally {
    readOut(request, sumBytes, limitBytes);
  }
};

/** Reads what is left of a body that nobody wants any more: a connection that is closed with unread bytes can lose its answer. */
const readOut = (request: IncomingMessage, readBytes: number, limitBytes: number): void => {
  if (request.readableEnded) return;
  let sumBytes = readBytes;
  request.on("data", (piece: Buffer) => {
    sumBytes += piece.length;
    if (sumBytes > limitBytes) request.destroy();
  });
  request.resume();
};

const headerBytesOf = (request: IncomingMessage): number => {
  let sum = (request.url?.length ?? 0) + (request.method?.length ?? 0) + 12;
  for (const word of request.rawHeaders) sum += word.length + 2;
  return sum;
};

const refused = (client: ClientConnection, code: number, error: string): void =>
  client.respond(
    ClientResponse.json(code, { error, verdict: "neverRan" }, { connection: "close" }),
  );

/** An HTTP/1.1 server that hands on requests, small bodies held whole. */
export class HttpServer {
  private readonly server: Server;
  private readonly take: (clientRequest: ProxyRequest, client: ClientConnection) => void;
  private readonly wholeOnly: boolean;
  private readonly connections = new WeakMap<Socket, HttpConnectionState>();
  private limits: ServerLimits = usual;
  private closing = false;
  private readonly responses: ResponseContext;

  constructor(
    take: (clientRequest: ProxyRequest, client: ClientConnection) => void,
    {
      wholeOnly = true,
      egress = new LinkPacer(Clock.real(), undefined),
      transferClass = "response",
    }: ServerOptions = {},
  ) {
    this.take = take;
    this.wholeOnly = wholeOnly;
    this.responses = { isClosing: () => this.closing, egress, transferClass, unfinished: 0 };
    this.server = createServer(
      { maxHeaderSize: parserHeaderBytes, connectionsCheckingInterval: lookMs, noDelay: true },
      (request, response) => this.arrived(request, response),
    );
    this.server.on("connection", (socket) => this.connected(socket));
    this.server.requestTimeout = 0;
    this.bound(usual);
  }

  /** Holds callers to limits from now on. */
  bound({
    headerBytes,
    bodyBytes,
    headerMs,
    idleMs,
  }: { readonly [name in keyof ServerLimits]?: number | undefined }): void {
    this.limits = {
      headerBytes: headerBytes ?? usual.headerBytes,
      bodyBytes: bodyBytes ?? usual.bodyBytes,
      headerMs: headerMs ?? usual.headerMs,
      idleMs: idleMs ?? usual.idleMs,
    };
    this.server.headersTimeout = this.limits.headerMs;
    this.server.keepAliveTimeout = this.limits.idleMs;
  }

  *listen(address: string): Task {
    const { server } = this;
    const fault = yield* Task.wait<Error | "listening">((done) => {
      server.once("error", done);
      server.listen({ ...Address.parts(address), backlog: 1024 }, () => done("listening"));
    });
    if (fault !== "listening")
      throw new ListenError(`Can't listen for HTTP on ${address}.`, { cause: fault });
  }

  /** From now on every return asks its caller to open another connection; those there are still serve. */
  partWithCallers(): void {
    this.closing = true;
  }

  /** Takes no new connections, and closes those that are idle or become so. A request that is on its way over one of them is lost. */
  close(): void {
    this.closing = true;
    this.server.close();
    this.server.closeIdleConnections();
  }

  /** How many responses that were handed over whole are still being written. */
  get unfinished(): number {
    return this.responses.unfinished;
  }

  /** Ends all that is left. */
  end(): void {
    this.server.closeAllConnections();
  }

  private connected(socket: Socket): void {
    const connection = newHttpConnectionState();
    this.connections.set(socket, connection);
    socket.once("close", () => {
      connection.isOver = true;
      for (const hear of connection.over) hear();
    });
  }

  private arrived(request: IncomingMessage, response: ServerResponse): void {
    const connection = this.connections.get(request.socket) ?? newHttpConnectionState();
    const caller = new HttpClientConnection(request, response, connection, this.responses);
    const { headerBytes, bodyBytes } = this.limits;
    request.on("error", () => undefined);
    response.on("error", () => undefined);
    const statedBytes = Number(request.headers["content-length"] ?? 0);
    if (headerBytesOf(request) > headerBytes)
      return refused(caller, 431, `The headers have at most ${headerBytes} bytes.`);
    if (statedBytes > bodyBytes)
      return refused(caller, 413, `A body has at most ${bodyBytes} bytes.`);
    const hand = (body: Uint8Array, rest?: AsyncIterable<Uint8Array>): void => {
      const job = {
        method: request.method ?? "",
        target: request.url ?? "/",
        headers: flat(request),
        body,
      };
      this.take(rest ? { ...job, rest } : job, caller);
    };
    if (statedBytes === 0 && request.headers["transfer-encoding"] === undefined) {
      request.resume();
      return hand(new Uint8Array());
    }
    const pieces: Buffer[] = [];
    let heldBytes = 0;
    let isOver = false;
    const hear = (piece: Buffer): void => {
      heldBytes += piece.length;
      if (isOver) return;
      if (heldBytes > bodyBytes) {
        isOver = true;
        pieces.length = 0;
        return refused(caller, 413, `A body has at most ${bodyBytes} bytes.`);
      }
      pieces.push(piece);
      if (this.wholeOnly || heldBytes <= BUFFERED_BODY_BYTES || heldBytes === statedBytes) return;
      isOver = true;
      request.off("data", hear);
      request.pause();
      let isRead = false;
      response.once("close", () => {
        if (!isRead) readOut(request, heldBytes, bodyBytes);
      });
      const begun = (): void => {
        isRead = true;
      };
      hand(Buffer.concat(pieces), restOf(request, heldBytes, bodyBytes, begun));
    };
    request.on("data", hear);
    request.on("end", () => {
      if (isOver || !request.complete) return;
      isOver = true;
      hand(Buffer.concat(pieces));
    });
  }
}
