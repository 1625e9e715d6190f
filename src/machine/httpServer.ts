import { createServer, type IncomingMessage, type Server, type ServerResponse } from "node:http";
import type { Caller, Job } from "../door/job.js";
import { Return } from "../door/verdict.js";
import { Address, ListenError } from "../link/wire.js";
import { Task } from "./task.js";

const bodyLimitBytes = 1024 * 1024;

const flat = (request: IncomingMessage): Record<string, string> => {
  const headers: Record<string, string> = {};
  for (const [name, value] of Object.entries(request.headers)) if (value !== undefined) headers[name] = Array.isArray(value) ? value.join(", ") : value;
  return headers;
};

const callerOf = (request: IncomingMessage, response: ServerResponse, closing: () => boolean): Caller => {
  let gone = false;
  response.on("close", () => {
    gone = !response.writableFinished;
  });
  const finish = (code: number, headers: Record<string, string>): void => {
    response.writeHead(code, closing() ? { ...headers, connection: "close" } : headers);
  };
  return {
    get isGone() {
      return gone;
    },
    whole({ code, headers, body }) {
      const bodiless = request.method === "HEAD" || code === 204 || code === 304;
      finish(code, bodiless ? headers : { ...headers, "content-length": String(body.length) });
      response.end(bodiless ? undefined : body);
    },
    begin: finish,
    *piece(bytes) {
      if (gone) return false;
      if (response.write(bytes)) return true;
      yield* Task.wait<boolean>((done) => {
        response.once("drain", () => done(true));
        response.once("close", () => done(false));
      });
      return !gone;
    },
    end: () => response.end(),
    cut: () => response.destroy(),
  };
};

/** An HTTP/1.1 server that hands on whole requests. */
export class HttpServer {
  private readonly server: Server;
  private closing = false;

  constructor(take: (job: Job, caller: Caller) => void) {
    this.server = createServer((request, response) => {
      const caller = callerOf(request, response, () => this.closing);
      const pieces: Buffer[] = [];
      let heldBytes = 0;
      request.on("error", () => undefined);
      response.on("error", () => undefined);
      request.on("data", (piece: Buffer) => {
        heldBytes += piece.length;
        if (heldBytes <= bodyLimitBytes) pieces.push(piece);
        else if (heldBytes - piece.length <= bodyLimitBytes) {
          caller.whole(Return.json(413, { error: `A body has at most ${bodyLimitBytes} bytes.`, verdict: "neverRan" }, { connection: "close" }));
          request.unpipe().resume();
        }
      });
      request.on("end", () => {
        if (heldBytes > bodyLimitBytes || !request.complete) return;
        take({ method: request.method ?? "", target: request.url ?? "/", headers: flat(request), body: Buffer.concat(pieces) }, caller);
      });
    });
    this.server.keepAliveTimeout = 15_000;
  }

  *listen(address: string): Task {
    const { server } = this;
    const fault = yield* Task.wait<Error | "listening">((done) => {
      server.once("error", done);
      server.listen(Address.parts(address), () => done("listening"));
    });
    if (fault !== "listening") throw new ListenError(`Can't listen for HTTP on ${address}.`, { cause: fault });
  }

  /** Takes no new connections, and closes those that are idle or become so. */
  close(): void {
    this.closing = true;
    this.server.close();
    this.server.closeIdleConnections();
  }

  /** Ends all that is left. */
  end(): void {
    this.server.closeAllConnections();
  }
}
