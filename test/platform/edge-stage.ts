import { createServer } from "node:http";
import { connect, type Socket } from "node:net";
import { HttpServer } from "../../src/daemon/http-server.js";
import { Task } from "../../src/runtime/task.js";
import { RawStage } from "./raw-stage.js";

const freePort = (): Promise<number> =>
  new Promise((done, fail) => {
    const probe = createServer().listen(0, "127.0.0.1", () => {
      const bound = probe.address();
      probe.close(() => done(bound !== null && typeof bound === "object" ? bound.port : 0));
    });
    probe.once("error", fail);
  });

/** A client's connection, and what it heard. */
export class RawClient {
  readonly socket: Socket;
  isClosed = false;
  private readonly pieces: Buffer[] = [];

  constructor(port: number) {
    this.socket = connect(port, "127.0.0.1");
    this.socket.setNoDelay(true);
    this.socket.on("error", () => undefined);
    this.socket.on("data", (piece: Buffer) => this.pieces.push(piece));
    this.socket.once("close", () => {
      this.isClosed = true;
    });
  }

  get heard(): string {
    return Buffer.concat(this.pieces).toString("latin1");
  }

  /** How many response heads came. */
  get answers(): number {
    return this.heard.split("HTTP/1.1 ").length - 1;
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

/** An edge with real connections on both sides: clients that write bytes, and back ends that do. */
export class EdgeStage {
  readonly raw: RawStage;
  readonly server: HttpServer;
  readonly port: number;
  private readonly clients: RawClient[] = [];

  private constructor(raw: RawStage, server: HttpServer, port: number) {
    this.raw = raw;
    this.server = server;
    this.port = port;
  }

  static async ready(count = 2): Promise<EdgeStage> {
    const raw = await RawStage.ready(count);
    const { callers } = raw.stage.daemon;
    const server = new HttpServer(
      (clientRequest, client) => callers.emit({ clientRequest, client }),
      {
        wholeOnly: false,
      },
    );
    const port = await freePort();
    await new Promise<void>((done, fail) =>
      Task.start(server.listen(`127.0.0.1:${port}`), fail, done),
    );
    return new EdgeStage(raw, server, port);
  }

  client(): RawClient {
    const one = new RawClient(this.port);
    this.clients.push(one);
    return one;
  }

  async close(): Promise<void> {
    for (const { socket } of this.clients) socket.destroy();
    this.server.close();
    this.server.end();
    await this.raw.close();
  }
}
