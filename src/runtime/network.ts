import { createServer, connect as connectSocket, type Server, type Socket } from "node:net";
import { Queue } from "./queue.js";
import { Task } from "./task.js";

/** A two-way flow of bytes between two processes. */
export interface Connection {
  /** What arrives, in order; `undefined` once the channel has closed. */
  readonly incoming: Queue<Uint8Array | "closed">;
  send(bytes: Uint8Array): void;
  close(): void;
}

/** How processes reach one another, by IP number and port. */
export interface Network {
  connect(address: string): Task<Connection | undefined>;
  listen(address: string, accept: (connection: Connection) => void): Task;
}

/** Raised when an address can't be listened on. */
export class ListenError extends Error {}

const channelOf = (socket: Socket): Connection => {
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

/** An address of the form IP:port, taken apart. */
export const Address = {
  parts(address: string): { host: string; port: number } {
    const colon = address.lastIndexOf(":");
    return {
      host: address.slice(0, colon).replace(/^\[|\]$/g, ""),
      port: Number(address.slice(colon + 1)),
    };
  },
};

export const Network = {
  /** TCP. */
  tcp(): Network & { close(): void } {
    const servers: Server[] = [];
    const sockets = new Set<Socket>();
    const hold = (socket: Socket): Socket => {
      sockets.add(socket);
      socket.on("close", () => sockets.delete(socket));
      return socket;
    };
    return {
      *connect(address) {
        return yield* Task.wait<Connection | undefined>((done) => {
          const socket = hold(connectSocket({ ...Address.parts(address), timeout: 1000 }));
          const give = (): void => {
            socket.destroy();
            done(undefined);
          };
          socket.once("error", give);
          socket.once("timeout", give);
          socket.once("connect", () => {
            socket.setTimeout(0);
            socket.off("error", give);
            socket.off("timeout", give);
            done(channelOf(socket));
          });
        });
      },
      *listen(address, accept) {
        const fault = yield* Task.wait<Error | "listening">((done) => {
          const server = createServer((socket) => accept(channelOf(hold(socket))));
          servers.push(server);
          server.once("error", done);
          server.listen(Address.parts(address), () => done("listening"));
        });
        if (fault !== "listening")
          throw new ListenError(`Can't listen for peers on ${address}.`, { cause: fault });
      },
      close() {
        for (const server of servers) server.close();
        for (const socket of sockets) socket.destroy();
      },
    };
  },
};
