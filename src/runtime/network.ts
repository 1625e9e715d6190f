/** Connections between daemons. */
import { createServer, connect as connectSocket, type Server, type Socket } from "node:net";
import { Queue } from "./queue.js";
import { type Task, waitFor } from "./task.js";

/** A bidirectional stream of bytes between two processes. */
export interface Connection {
  /** What arrives, in order; `closed` once the connection has ended. */
  readonly incoming: Queue<Uint8Array | "closed">;
  send(bytes: Uint8Array): void;
  close(): void;
}

/** Connects processes by IP address and port. */
export interface Network {
  /** Opens a connection; `undefined` where that fails. */
  connect(address: string): Task<Connection | undefined>;
  /** Accepts connections at an address. Throws a `ListenError` where that fails. */
  listen(address: string, accept: (connection: Connection) => void): Task;
}

/** Thrown where an address can't be listened on. */
export class ListenError extends Error {}

/** How long a connection may take to open. */
const CONNECT_TIMEOUT_MS = 1000;

const connectionOf = (socket: Socket): Connection => {
  const incoming = new Queue<Uint8Array | "closed">();
  socket.setNoDelay(true);
  socket.on("data", (bytes: Buffer) => incoming.put(bytes));
  socket.on("error", () => socket.destroy());
  socket.on("close", () => incoming.put("closed"));
  return {
    incoming,
    send(bytes) {
      if (socket.writable) socket.write(bytes);
    },
    close: () => socket.destroy(),
  };
};

/** Addresses of the form IP:port. */
export const Address = {
  /** The host without brackets, and the port. */
  parse(address: string): { host: string; port: number } {
    const colon = address.lastIndexOf(":");
    return {
      host: address.slice(0, colon).replace(/^\[|\]$/g, ""),
      port: Number(address.slice(colon + 1)),
    };
  },
};

/** TCP connections; `close` ends all of them. */
export function tcpNetwork(): Network & { close(): void } {
  const servers: Server[] = [];
  const sockets = new Set<Socket>();
  const track = (socket: Socket): Socket => {
    sockets.add(socket);
    socket.on("close", () => sockets.delete(socket));
    return socket;
  };
  return {
    *connect(address) {
      return yield* waitFor<Connection | undefined>((done) => {
        const socket = track(
          connectSocket({ ...Address.parse(address), timeout: CONNECT_TIMEOUT_MS }),
        );
        const fail = (): void => {
          socket.destroy();
          done(undefined);
        };
        socket.once("error", fail);
        socket.once("timeout", fail);
        socket.once("connect", () => {
          socket.setTimeout(0);
          socket.off("error", fail);
          socket.off("timeout", fail);
          done(connectionOf(socket));
        });
      });
    },
    *listen(address, accept) {
      const outcome = yield* waitFor<Error | "listening">((done) => {
        const server = createServer((socket) => accept(connectionOf(track(socket))));
        servers.push(server);
        server.once("error", done);
        server.listen(Address.parse(address), () => done("listening"));
      });
      if (outcome !== "listening")
        throw new ListenError(`Can't listen for peers on ${address}.`, { cause: outcome });
    },
    close() {
      for (const server of servers) server.close();
      for (const socket of sockets) socket.destroy();
    },
  };
}
