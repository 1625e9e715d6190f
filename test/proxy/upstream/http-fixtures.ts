/** Fixtures of the tests that reach backends over real connections. */
import { createServer, type Server as HttpServer } from "node:http";
import type { Server, Socket } from "node:net";
import type {
  BackendAttempt,
  BackendClient,
  OpenResult,
} from "../../../src/proxy/upstream/backend-client.js";
import { type Task, runTask } from "../../../src/runtime/task.js";

/** Listens on a free port of the loopback interface, or on the given one; returns the address. */
export const listen = async (server: Server, port = 0): Promise<string> => {
  await new Promise<void>((done) => server.listen(port, "127.0.0.1", done));
  const bound = server.address();
  if (bound === null || typeof bound !== "object") throw new Error("The port has no number.");
  return `127.0.0.1:${bound.port}`;
};

/** Stops an HTTP server and breaks its connections. */
export const stopServer = (server: HttpServer): Promise<void> =>
  new Promise((done) => {
    server.close(() => done());
    server.closeAllConnections();
  });

/** A server that answers each request with this body, by path. */
export const createBodyServer = (bodyOf: (path: string) => string | Buffer): HttpServer =>
  createServer((incoming, outgoing) => outgoing.end(bodyOf(incoming.url ?? "")));

/** Runs a task to its end. */
export const runToEnd = <T>(task: Task<T>): Promise<T> =>
  new Promise((done, fail) => runTask(task, fail, done));

/** An attempt as the proxy makes it: a GET of `/` that may be sent, unless told otherwise. */
export const createAttempt = (
  address: string,
  untilMs: number,
  {
    method = "GET",
    path = "/",
    body = new Uint8Array(),
    maySend = (): boolean => true,
  }: { method?: string; path?: string; body?: Uint8Array; maySend?: () => boolean } = {},
): BackendAttempt => ({
  address,
  service: "issues",
  pool: "one",
  request: { method, path, headers: {}, body },
  deadlineMs: untilMs,
  maySend,
});

/** A response that was read to its end; `ending` tells how it or the attempt ended. */
export interface ReadResponse {
  readonly body: Buffer;
  readonly ending: string;
}

/** Reads a response to its end. */
export const readResponse = function* (result: OpenResult): Task<ReadResponse> {
  if (result.kind === "failed") return { body: Buffer.alloc(0), ending: result.cause };
  const chunks: Uint8Array[] = [];
  let chunk = yield* result.response.nextChunk();
  while (typeof chunk !== "string") {
    chunks.push(chunk);
    chunk = yield* result.response.nextChunk();
  }
  return { body: Buffer.concat(chunks), ending: chunk };
};

/** A response in a line: its body and how it ended, or why there was none. */
export const readResponseText = function* (result: OpenResult): Task<string> {
  const { body, ending } = yield* readResponse(result);
  return result.kind === "failed" ? ending : `${body.toString()} ${ending}`;
};

/** Sends an attempt and reads its response. */
export const exchangeText = (client: BackendClient, attempt: BackendAttempt): Promise<string> =>
  runToEnd(
    (function* () {
      return yield* readResponseText(yield* client.send(attempt));
    })(),
  );

/** A peer's socket whose errors are of no interest to a test. */
export const ignoreErrors = (socket: Socket): Socket => socket.on("error", () => undefined);
