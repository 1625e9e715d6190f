/** A fixture of the proxy with real connections on both sides. */
import { createServer } from "node:http";
import { connect, type Socket } from "node:net";
import { HttpServer } from "../../src/daemon/http-server.js";
import { runTask } from "../../src/runtime/task.js";
import { RawBackendFixture } from "./raw-backend-fixture.js";

const freePort = (): Promise<number> =>
  new Promise((done, fail) => {
    const probe = createServer().listen(0, "127.0.0.1", () => {
      const bound = probe.address();
      probe.close(() => done(bound !== null && typeof bound === "object" ? bound.port : 0));
    });
    probe.once("error", fail);
  });

/** A client's connection, which records the bytes it receives. */
export class RawClient {
  readonly socket: Socket;
  isClosed = false;
  private readonly chunks: Buffer[] = [];

  constructor(port: number) {
    this.socket = connect(port, "127.0.0.1");
    this.socket.setNoDelay(true);
    this.socket.on("error", () => undefined);
    this.socket.on("data", (piece: Buffer) => this.chunks.push(piece));
    this.socket.once("close", () => {
      this.isClosed = true;
    });
  }

  /** All that was received. */
  get received(): string {
    return Buffer.concat(this.chunks).toString("latin1");
  }

  /** How many response heads came. */
  get responseCount(): number {
    return this.received.split("HTTP/1.1 ").length - 1;
  }

  /** Sends a request's head, and as much of its body as is given. */
  request(
    method: string,
    target: string,
    tryId: string,
    headers: Readonly<Record<string, string>> = {},
    body: Uint8Array | string = "",
  ): void {
    const all = { host: "shop.example", "try-id": tryId, ...headers };
    const lines = Object.entries(all).map(([name, value]) => `${name}: ${value}\r\n`);
    this.socket.write(`${method} ${target} HTTP/1.1\r\n${lines.join("")}\r\n`);
    if (body.length > 0) this.socket.write(body);
  }
}

/** A daemon between clients and backends that write bytes. */
export class EdgeFixture {
  readonly raw: RawBackendFixture;
  readonly server: HttpServer;
  readonly port: number;
  private readonly clients: RawClient[] = [];

  private constructor(raw: RawBackendFixture, server: HttpServer, port: number) {
    this.raw = raw;
    this.server = server;
    this.port = port;
  }

  /** A daemon before so many backends, listening on a free port. */
  static async create(count = 2): Promise<EdgeFixture> {
    const raw = await RawBackendFixture.create(count);
    const { clientRequests: callers } = raw.proxy.daemon;
    const server = new HttpServer(
      (clientRequest, connectClient) => callers.emit({ clientRequest, client: connectClient }),
      {
        bufferWholeBodies: false,
      },
    );
    const port = await freePort();
    await new Promise<void>((done, fail) =>
      runTask(server.listen(`127.0.0.1:${port}`), fail, done),
    );
    return new EdgeFixture(raw, server, port);
  }

  /** Opens a client connection. */
  connectClient(): RawClient {
    const one = new RawClient(this.port);
    this.clients.push(one);
    return one;
  }

  /** Closes all connections, the daemon and the backends. */
  async close(): Promise<void> {
    for (const { socket } of this.clients) socket.destroy();
    this.server.close();
    this.server.closeConnections();
    await this.raw.close();
  }
}
