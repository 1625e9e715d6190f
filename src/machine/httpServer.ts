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

  /** From now on every return asks its caller to open another connection; those there are still serve. */
  partWithCallers(): void {
    this.closing = true;
  }

  /** Takes no new connections, and closes those that are idle or become so. A request that is on its way over one of them is lost. */
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

if (import.meta.vitest) {
  const { expect, test } = import.meta.vitest;
  const { connect } = await import("node:net");
  test("a request that was sent over a kept connection right before the server began to part with its callers is answered", async () => {
    const server = new HttpServer((job, caller) => caller.whole({ code: 200, headers: {}, body: Buffer.from(job.target) }));
    const port = await new Promise<number>((done, fail) => {
      const probe = createServer().listen(0, "127.0.0.1", () => {
        const bound = probe.address();
        probe.close(() => done(bound !== null && typeof bound === "object" ? bound.port : 0));
      });
      probe.once("error", fail);
    });
    await new Promise<void>((done, fail) => Task.start(server.listen(`127.0.0.1:${port}`), fail, done));
    const heard: string[] = [];
    const socket = connect(port, "127.0.0.1");
    socket.on("data", (bytes: Buffer) => heard.push(bytes.toString()));
    const ended = new Promise<void>((done) => socket.once("close", () => done()));
    socket.write("GET /one HTTP/1.1\r\nhost: a\r\n\r\n");
    await expect.poll(() => heard.join("").includes("/one")).toBe(true);
    socket.write("GET /two HTTP/1.1\r\nhost: a\r\n\r\n");
    server.partWithCallers();
    await ended;
    expect(heard.join("")).toMatch(/connection: close[^]*\/two$/i);
    server.close();
    server.end();
  });
}
