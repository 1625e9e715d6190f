import { afterEach, beforeEach, describe, expect, test } from "vitest";
import { HttpServer } from "../../src/daemon/http-server.js";
import { runTask } from "../../src/runtime/task.js";
import { freePort } from "./free-port.js";
import { RecordingClient } from "./http-client.js";

const HEADER_TIMEOUT_MS = 200;
/** The server checks for late headers every second. */
const WRITE_MS = 2500;
/** More than the server buffers for a connection before it stops reading. */
const READ_RESPONSE_BYTES = 25_000;

const head = (method: string, target: string, extra = ""): string =>
  `${method} ${target} HTTP/1.1\r\nhost: a\r\n${extra}\r\n`;
const write = `${head("POST", "/write", "content-length: 5\r\n")}entry`;

describe("a protocol error behind a request that is still running", () => {
  let server: HttpServer;
  let client: RecordingClient;
  let finishWrite: () => void;

  beforeEach(async () => {
    finishWrite = () => undefined;
    server = new HttpServer(({ method }, connection) => {
      const text = method === "POST" ? "written" : "x".repeat(READ_RESPONSE_BYTES);
      const respond = (): void =>
        connection.respond({ code: 200, headers: {}, body: Buffer.from(text) });
      if (method !== "POST") return respond();
      finishWrite = respond;
    });
    server.setLimits({ headerMs: HEADER_TIMEOUT_MS });
    const port = await freePort();
    await new Promise<void>((done, fail) =>
      runTask(server.listen(`127.0.0.1:${port}`), fail, done),
    );
    client = new RecordingClient(port);
  });

  afterEach(() => {
    client.socket.destroy();
    server.close();
    server.closeConnections();
  });

  const elapse = (ms: number): Promise<void> => new Promise((done) => setTimeout(done, ms));

  // Guards against a 408, which promises that nothing ran, in the place of the response to a write that runs.
  test("headers that the server itself stopped reading don't time out", async () => {
    const lastRead = head("GET", "/read");
    client.socket.write(write + head("GET", "/read"));
    await elapse(100);
    client.socket.write(head("GET", "/read") + lastRead.slice(0, 10));
    await elapse(50);
    client.socket.write(lastRead.slice(10));
    await elapse(WRITE_MS);
    expect(client.statuses).toEqual([]);
    finishWrite();
    await expect.poll(() => client.received.length).toBeGreaterThan(3 * READ_RESPONSE_BYTES);
    expect(client.statuses).toEqual(["200", "200", "200", "200"]);
    expect(client.received.indexOf("written")).toBeLessThan(client.received.indexOf("xxx"));
  });

  // Guards against the response of a running write being replaced by the 408 for the headers behind it.
  test("late headers are answered 408 only after the response to the write", async () => {
    client.socket.write(write + head("GET", "/read").slice(0, 10));
    await elapse(WRITE_MS);
    expect(client.statuses).toEqual([]);
    finishWrite();
    await expect.poll(() => client.isClosed).toBe(true);
    expect(client.statuses).toEqual(["200", "408"]);
  });

  // Guards against the response of a running write being replaced by the 400 for the bytes behind it.
  test.each([
    ["bytes that are no request", "no request at all\r\n\r\n", "400"],
    ["headers over the limit", head("GET", "/", `long: ${"x".repeat(300_000)}\r\n`), "431"],
    [
      "a malformed body",
      `${head("POST", "/", "transfer-encoding: chunked\r\n")}no size\r\n`,
      "400",
    ],
    ["a request for a tunnel", "CONNECT a:1 HTTP/1.1\r\nhost: a\r\n\r\n", "405"],
  ])("%s: answered after the response to the write", async (_name, bytes, status) => {
    client.socket.write(write);
    await elapse(50);
    client.socket.write(bytes);
    await elapse(200);
    expect(client.statuses).toEqual([]);
    finishWrite();
    await expect.poll(() => client.isClosed).toBe(true);
    expect(client.statuses).toEqual(["200", status]);
  });

  test("late headers without a request before them are answered 408", async () => {
    client.socket.write(head("GET", "/read").slice(0, 10));
    await expect.poll(() => client.isClosed, { timeout: 4000 }).toBe(true);
    expect(client.statuses).toEqual(["408"]);
  });

  // Guards against connections that stay open for good, each with a descriptor, after an error that their clients ignore.
  test("a rejected connection is closed, also if its client doesn't close its side", async () => {
    client.socket.allowHalfOpen = true;
    client.socket.write("no request at all\r\n\r\n");
    await expect.poll(() => client.statuses).toEqual(["400"]);
    await expect.poll(() => server.connectionCount, { timeout: 4000 }).toBe(0);
  });
});
