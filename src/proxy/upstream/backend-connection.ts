/** Opens and represents single connections to backends. */
import { connect, type Socket } from "node:net";
import { Client } from "undici";
import type { Clock } from "../../runtime/clock.js";
import { Address } from "../../runtime/network.js";
import { type Task, waitFor } from "../../runtime/task.js";
import { openFailure, type OpenFailure } from "./backend-client.js";
import { ConnectionClosedError } from "./connection-errors.js";

/** How long an idle connection stays open unless the backend states another time. */
const KEEP_ALIVE_TIMEOUT_MS = 4000;

/** A TCP connection that was opened. */
export interface OpenedSocket {
  readonly kind: "connected";
  readonly socket: Socket;
}

/** Opens a TCP connection to `IP:port`. */
export const openSocket = function* (
  clock: Clock,
  address: string,
  timeoutMs: number,
): Task<OpenedSocket | OpenFailure> {
  return yield* waitFor<OpenedSocket | OpenFailure>((done) => {
    const socket = connect({ ...Address.parse(address), noDelay: true });
    const cancelTimeout = clock.after(timeoutMs, () => {
      socket.destroy();
      done(openFailure("unreached"));
    });
    socket.on("error", (error) => {
      cancelTimeout();
      const isRefused = "code" in error && error.code === "ECONNREFUSED";
      done(openFailure(isRefused ? "refused" : "unreached"));
    });
    socket.once("connect", () => {
      cancelTimeout();
      done({ kind: "connected", socket });
    });
  });
};

/** Creates an HTTP/1.1 client that uses only this socket, for one request at a time, and never opens another. */
const createClient = (socket: Socket, address: string): Client => {
  let isSocketTaken = false;
  return new Client(`http://${address}`, {
    pipelining: 1,
    keepAliveTimeout: KEEP_ALIVE_TIMEOUT_MS,
    headersTimeout: 0,
    bodyTimeout: 0,
    connect(_options, done) {
      if (isSocketTaken || socket.destroyed) return done(new ConnectionClosedError(), null);
      isSocketTaken = true;
      queueMicrotask(() => done(null, socket));
    },
  });
};

/** One connection. It is never reopened, so that its service proof stays valid until it closes. */
export class BackendConnection {
  readonly pool: string;
  readonly client: Client;
  readonly socket: Socket;
  /** Whether it carried a response without a request id. */
  hasUnidentifiedResponse = false;

  constructor(socket: Socket, address: string, pool: string) {
    this.socket = socket;
    this.pool = pool;
    this.client = createClient(socket, address);
  }
}
