/** A backend on a real port that writes whatever bytes a test gives it. */
import { createServer, type Server, type Socket } from "node:net";

/** One request as its bytes came in. */
export interface RawRequest {
  /** Which of the backend's connections it came on, and which request of that connection it is; both from 0. */
  readonly connection: number;
  readonly index: number;
  readonly method: string;
  readonly path: string;
  readonly headers: Readonly<Record<string, string>>;
  readonly tryId: string;
  readonly body: Buffer;
}

/** What a backend has read of one connection. */
interface Reading {
  readonly connection: number;
  bytes: Buffer;
  requestIndex: number;
  isHeadReported: boolean;
}

/** The body that starts at an offset, and where it ends; undefined while it isn't complete. */
const bodyFrom = (
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
  const pieces: Buffer[] = [];
  for (let at = startBytes; ;) {
    const lineEnd = bytes.indexOf("\r\n", at);
    if (lineEnd < 0) return undefined;
    const sizeBytes = Number.parseInt(bytes.toString("latin1", at, lineEnd), 16);
    const nextBytes = lineEnd + 2 + sizeBytes + 2;
    if (bytes.length < nextBytes) return undefined;
    if (sizeBytes === 0) return { body: Buffer.concat(pieces), endBytes: nextBytes };
    pieces.push(bytes.subarray(lineEnd + 2, lineEnd + 2 + sizeBytes));
    at = nextBytes;
  }
};

/** A backend that replies with whatever bytes a test writes. */
export class RawBackend {
  /** All requests whose heads came, and those that came complete. */
  readonly requestHeads: RawRequest[] = [];
  readonly requests: RawRequest[] = [];
  readonly sockets: Socket[] = [];
  address = "";
  /** Called with each connection, each request's head, and each complete request. */
  onConnection: (socket: Socket) => void = () => undefined;
  onHead: (request: RawRequest, socket: Socket) => void = () => undefined;
  reply: (request: RawRequest, socket: Socket) => void = (request, socket) => {
    socket.write(RawBackend.success(request, "fine"));
  };
  private readonly server: Server;

  private constructor() {
    this.server = createServer({ noDelay: true }, (socket) => this.accept(socket));
  }

  /** Opens one on a free port, or on the one that is given. */
  static async open(port = 0): Promise<RawBackend> {
    const one = new RawBackend();
    await new Promise<void>((done, fail) => {
      one.server.once("error", fail);
      one.server.listen(port, "127.0.0.1", done);
    });
    const bound = one.server.address();
    if (bound === null || typeof bound !== "object") throw new Error("The port has no number.");
    one.address = `127.0.0.1:${bound.port}`;
    return one;
  }

  /** The bytes of one response with a length, its headers given in full. */
  static response(code: number, headers: Readonly<Record<string, string>>, body = ""): string {
    const lines = Object.entries({ "content-length": String(body.length), ...headers }).map(
      ([name, value]) => `${name}: ${value}\r\n`,
    );
    return `HTTP/1.1 ${code} Any\r\n${lines.join("")}\r\n${body}`;
  }

  /** A complete success to a request. */
  static success(
    { tryId }: Pick<RawRequest, "tryId">,
    text: string,
    headers: Readonly<Record<string, string>> = {},
  ): string {
    return RawBackend.response(200, { "try-id": tryId, seal: `seal-of-${text}`, ...headers }, text);
  }

  /** Ends it and all its connections. */
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
    socket.on("data", (piece: Buffer) => {
      reading.bytes = Buffer.concat([reading.bytes, piece]);
      while (this.parseRequest(reading, socket));
    });
  }

  /** Removes one request from what was read; false where none is complete yet. */
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
    const complete = bodyFrom(reading.bytes, headEnd + 4, headers);
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
