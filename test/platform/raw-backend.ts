import { createServer, type Server, type Socket } from "node:net";

/** One request as its bytes came in. */
export interface RawRequest {
  /** Which of the back end's connections it came on, and which request of that connection it is; both from 0. */
  readonly connection: number;
  readonly place: number;
  readonly method: string;
  readonly path: string;
  readonly headers: Readonly<Record<string, string>>;
  readonly tryId: string;
  readonly body: Buffer;
}

/** What a back end has read of one connection. */
interface Reading {
  readonly connection: number;
  bytes: Buffer;
  place: number;
  isHeadTold: boolean;
}

/** The body that starts at a place, and where it ends; undefined while it isn't whole. */
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

/** A back end on a real port that answers with whatever bytes a test writes. */
export class RawBackEnd {
  /** All requests whose heads came, and those that came whole. */
  readonly heads: RawRequest[] = [];
  readonly requests: RawRequest[] = [];
  readonly sockets: Socket[] = [];
  address = "";
  /** Hears of each connection, of each request's head, and of each whole request. */
  onConnection: (socket: Socket) => void = () => undefined;
  onHead: (request: RawRequest, socket: Socket) => void = () => undefined;
  act: (request: RawRequest, socket: Socket) => void = (request, socket) => {
    socket.write(RawBackEnd.success(request, "fine"));
  };
  private readonly server: Server;

  private constructor() {
    this.server = createServer({ noDelay: true }, (socket) => this.connected(socket));
  }

  /** Opens one on a free port, or on the one that is given. */
  static async open(port = 0): Promise<RawBackEnd> {
    const one = new RawBackEnd();
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

  /** A whole success to a request. */
  static success(
    { tryId }: Pick<RawRequest, "tryId">,
    text: string,
    headers: Readonly<Record<string, string>> = {},
  ): string {
    return RawBackEnd.response(200, { "try-id": tryId, seal: `seal-of-${text}`, ...headers }, text);
  }

  /** Ends it and all its connections. */
  async close(): Promise<void> {
    for (const socket of this.sockets) socket.destroy();
    await new Promise<void>((done) => this.server.close(() => done()));
  }

  private connected(socket: Socket): void {
    const reading: Reading = {
      connection: this.sockets.length,
      bytes: Buffer.alloc(0),
      place: 0,
      isHeadTold: false,
    };
    this.sockets.push(socket);
    socket.on("error", () => undefined);
    this.onConnection(socket);
    socket.on("data", (piece: Buffer) => {
      reading.bytes = Buffer.concat([reading.bytes, piece]);
      while (this.take(reading, socket));
    });
  }

  /** Takes one request off what was read; false where there is none yet. */
  private take(reading: Reading, socket: Socket): boolean {
    const headEnd = reading.bytes.indexOf("\r\n\r\n");
    if (headEnd < 0) return false;
    const [first = "", ...lines] = reading.bytes.toString("latin1", 0, headEnd).split("\r\n");
    const [method = "", path = ""] = first.split(" ");
    const headers: Record<string, string> = {};
    for (const line of lines) {
      const colon = line.indexOf(":");
      headers[line.slice(0, colon).toLowerCase()] = line.slice(colon + 1).trim();
    }
    const { connection, place } = reading;
    const tryId = headers["try-id"] ?? "";
    const head = { connection, place, method, path, headers, tryId, body: Buffer.alloc(0) };
    if (!reading.isHeadTold) {
      reading.isHeadTold = true;
      this.heads.push(head);
      this.onHead(head, socket);
    }
    const whole = bodyFrom(reading.bytes, headEnd + 4, headers);
    if (!whole) return false;
    const request = { ...head, body: Buffer.from(whole.body) };
    reading.bytes = reading.bytes.subarray(whole.endBytes);
    reading.place += 1;
    reading.isHeadTold = false;
    this.requests.push(request);
    this.act(request, socket);
    return true;
  }
}
