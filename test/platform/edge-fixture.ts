/** A fixture of the proxy with real connections to clients and backends. */
import { connect, type Socket } from "node:net";
import { HttpServer } from "../../src/daemon/http-server.js";
import { runTask } from "../../src/runtime/task.js";
import { RawBackendFixture } from "./raw-backend-fixture.js";
import { freePort } from "../daemon/free-port.js";

/** A client's connection, which records the bytes it receives. */
export class RawClient {
  readonly socket: Socket;
  isClosed = false;
  private readonly chunks: Buffer[] = [];

  constructor(port: number) {
    this.socket = connect(port, "127.0.0.1");
    this.socket.setNoDelay(true);
    this.socket.on("error", () => undefined);
    this.socket.on("data", (chunk: Buffer) => this.chunks.push(chunk));
    this.socket.once("close", () => {
      this.isClosed = true;
    });
  }

  /** All bytes received, as text. */
  get received(): string {
    return Buffer.concat(this.chunks).toString("latin1");
  }

  /** Number of response heads received. */
  get responseCount(): number {
    return this.received.split("HTTP/1.1 ").length - 1;
  }

  /** Sends a request's head and the given part of its body. */
  request(
    method: string,
    target: string,
    tryId: string,
    headers: Readonly<Record<string, string>> = {},
    body: Uint8Array | string = "",
  ): void {
    const allHeaders = { host: "shop.example", "try-id": tryId, ...headers };
    const lines = Object.entries(allHeaders).map(([name, value]) => `${name}: ${value}\r\n`);
    this.socket.write(`${method} ${target} HTTP/1.1\r\n${lines.join("")}\r\n`);
    if (body.length > 0) this.socket.write(body);
  }
}

/** A daemon between raw clients and raw backends. */
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

  /** Starts a daemon on a free port with `count` backends. */
  static async create(count = 2): Promise<EdgeFixture> {
    const raw = await RawBackendFixture.create(count);
    const { clientRequests } = raw.proxy.daemon;
    const server = new HttpServer(
      (clientRequest, client) => clientRequests.emit({ clientRequest, client }),
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
    const client = new RawClient(this.port);
    this.clients.push(client);
    return client;
  }

  /** Closes all connections, the daemon and the backends. */
  async close(): Promise<void> {
    for (const { socket } of this.clients) socket.destroy();
    this.server.close();
    this.server.closeConnections();
    await this.raw.close();
  }
}
