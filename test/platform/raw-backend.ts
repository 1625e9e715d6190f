/** A backend on a real port that writes the bytes that a test provides. */
import { createServer, type Server, type Socket } from "node:net";

/** One received request. */
export interface RawRequest {
  /** The index of the connection at the backend, and of the request on that connection; both from 0. */
  readonly connection: number;
  readonly index: number;
  readonly method: string;
  readonly path: string;
  readonly headers: Readonly<Record<string, string>>;
  readonly tryId: string;
  readonly body: Buffer;
}

/** The state of reading from one connection. */
interface Reading {
  readonly connection: number;
  bytes: Buffer;
  requestIndex: number;
  isHeadReported: boolean;
}

/** Parses the body that starts at an offset, and returns it with its end; undefined while it isn't complete. */
const parseBody = (
  bytes: Buffer,
  startBytes: number,
  headers: Readonly<Record<string, string>>,
): { body: Buffer; endBytes: number } | undefined => {
  if (headers["transfer-encoding"] !== "chunked") {
    const endBytes = startBytes + Number(headers["content-length"] ?? 0);
    return bytes.length < endBytes
      ? undefined
      : { body: bytes.subarray(startBytes, endBytes), endBytes };
  }
  const chunks: Buffer[] = [];
  for (let at = startBytes; ;) {
    const lineEnd = bytes.indexOf("\r\n", at);
    if (lineEnd < 0) return undefined;
    const sizeBytes = Number.parseInt(bytes.toString("latin1", at, lineEnd), 16);
    const nextBytes = lineEnd + 2 + sizeBytes + 2;
    if (bytes.length < nextBytes) return undefined;
    if (sizeBytes === 0) return { body: Buffer.concat(chunks), endBytes: nextBytes };
    chunks.push(bytes.subarray(lineEnd + 2, lineEnd + 2 + sizeBytes));
    at = nextBytes;
  }
};

/** A backend that replies with the bytes that a test writes. */
export class RawBackend {
  /** All requests whose heads were received, and all that were received completely. */
  readonly requestHeads: RawRequest[] = [];
  readonly requests: RawRequest[] = [];
  readonly sockets: Socket[] = [];
  address = "";
  /** Called for each new connection, each request's head, and each complete request. */
  onConnection: (socket: Socket) => void = () => undefined;
  onHead: (request: RawRequest, socket: Socket) => void = () => undefined;
  reply: (request: RawRequest, socket: Socket) => void = (request, socket) => {
    socket.write(RawBackend.success(request, "fine"));
  };
  private readonly server: Server;

  private constructor() {
    this.server = createServer({ noDelay: true }, (socket) => this.accept(socket));
  }

  /** Opens a backend on the given port, or on a free one if it is 0. */
  static async open(port = 0): Promise<RawBackend> {
    const backend = new RawBackend();
    await new Promise<void>((done, fail) => {
      backend.server.once("error", fail);
      backend.server.listen(port, "127.0.0.1", done);
    });
    const bound = backend.server.address();
    if (bound === null || typeof bound !== "object") throw new Error("The server has no TCP port.");
    backend.address = `127.0.0.1:${bound.port}`;
    return backend;
  }

  /** The bytes of a response with a Content-Length and the given headers. */
  static response(code: number, headers: Readonly<Record<string, string>>, body = ""): string {
    const lines = Object.entries({ "content-length": String(body.length), ...headers }).map(
      ([name, value]) => `${name}: ${value}\r\n`,
    );
    return `HTTP/1.1 ${code} Any\r\n${lines.join("")}\r\n${body}`;
  }

  /** The bytes of a successful response to a request. */
  static success(
    { tryId }: Pick<RawRequest, "tryId">,
    text: string,
    headers: Readonly<Record<string, string>> = {},
  ): string {
    return RawBackend.response(200, { "try-id": tryId, seal: `seal-of-${text}`, ...headers }, text);
  }

  /** Closes the server and all its connections. */
  async close(): Promise<void> {
    for (const socket of this.sockets) socket.destroy();
    await new Promise<void>((done) => this.server.close(() => done()));
  }

  private accept(socket: Socket): void {
    const reading: Reading = {
      connection: this.sockets.length,
      bytes: Buffer.alloc(0),
      requestIndex: 0,
      isHeadReported: false,
    };
    this.sockets.push(socket);
    socket.on("error", () => undefined);
    this.onConnection(socket);
    socket.on("data", (chunk: Buffer) => {
      reading.bytes = Buffer.concat([reading.bytes, chunk]);
      while (this.parseRequest(reading, socket));
    });
  }

  /** Removes one request from the bytes read; false if none is complete yet. */
  private parseRequest(reading: Reading, socket: Socket): boolean {
    const headEnd = reading.bytes.indexOf("\r\n\r\n");
    if (headEnd < 0) return false;
    const [first = "", ...lines] = reading.bytes.toString("latin1", 0, headEnd).split("\r\n");
    const [method = "", path = ""] = first.split(" ");
    const headers: Record<string, string> = {};
    for (const line of lines) {
      const colon = line.indexOf(":");
      headers[line.slice(0, colon).toLowerCase()] = line.slice(colon + 1).trim();
    }
    const { connection, requestIndex: index } = reading;
    const tryId = headers["try-id"] ?? "";
    const head = { connection, index, method, path, headers, tryId, body: Buffer.alloc(0) };
    if (!reading.isHeadReported) {
      reading.isHeadReported = true;
      this.requestHeads.push(head);
      this.onHead(head, socket);
    }
    const complete = parseBody(reading.bytes, headEnd + 4, headers);
    if (!complete) return false;
    const request = { ...head, body: Buffer.from(complete.body) };
    reading.bytes = reading.bytes.subarray(complete.endBytes);
    reading.requestIndex += 1;
    reading.isHeadReported = false;
    this.requests.push(request);
    this.reply(request, socket);
    return true;
  }
}
