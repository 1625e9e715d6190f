/** One connection to a backend, and how it is opened. */
import { connect, type Socket } from "node:net";
import { Client } from "undici";
import type { Clock } from "../../runtime/clock.js";
import { Address } from "../../runtime/network.js";
import { type Task, waitFor } from "../../runtime/task.js";
import { openFailure, type OpenFailure } from "./backend-client.js";
import { ConnectionClosedError } from "./connection-errors.js";

/** How long an idle connection stays open where the backend states nothing else. */
const KEEP_ALIVE_TIMEOUT_MS = 4000;

/** A socket that was opened. */
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

/** A client that speaks HTTP/1.1 over this socket alone, one request at a time; it never opens another. */
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

/** One connection; it never opens a second time, so that its service proof is valid for as long as it lasts. */
export class BackendConnection {
  readonly pool: string;
  readonly client: Client;
  readonly socket: Socket;
  /** A response came on it that named no request. */
  hasUnidentifiedResponse = false;

  constructor(socket: Socket, address: string, pool: string) {
    this.socket = socket;
    this.pool = pool;
    this.client = createClient(socket, address);
  }
}
