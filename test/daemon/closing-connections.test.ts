import { spawn } from "node:child_process";
import { afterEach, beforeEach, describe, expect, test } from "vitest";
import { HttpServer } from "../../src/daemon/http-server.js";
import type { ClientConnection } from "../../src/proxy/proxy-request.js";
import { runTask } from "../../src/runtime/task.js";
import { freePort } from "./free-port.js";
import { RecordingClient } from "./http-client.js";

/** More than the buffers of a loopback connection hold. */
const LARGE_RESPONSE_BYTES = 30_000_000;

const WAITING_CLIENTS = 20;

const elapse = (ms: number): Promise<void> => new Promise((done) => setTimeout(done, ms));

/** Keeps the event loop from running for some time. */
const blockEventLoop = (ms: number): void => {
  Atomics.wait(new Int32Array(new SharedArrayBuffer(4)), 0, 0, ms);
};

describe("a server that closes its connections", () => {
  let server: HttpServer;
  let client: RecordingClient;
  let port: number;
  /** The requests that wait for `respond`, by their targets. */
  let waiting: Map<string, ClientConnection>;

  beforeEach(async () => {
    waiting = new Map();
    server = new HttpServer((clientRequest, connection) => {
      if (clientRequest.target === "/large") respondTo(connection, LARGE_RESPONSE_BYTES);
      else waiting.set(clientRequest.target, connection);
    });
    port = await freePort();
    await new Promise<void>((done, fail) =>
      runTask(server.listen(`127.0.0.1:${port}`), fail, done),
    );
    client = new RecordingClient(port);
    await new Promise<void>((done) => client.socket.once("connect", done));
    await expect.poll(() => server.connectionCount).toBe(1);
  });

  afterEach(() => {
    client.socket.destroy();
    server.close();
    server.closeConnections();
  });

  const respondTo = (connection: ClientConnection | undefined, bytes: number): void =>
    connection?.respond({ code: 200, headers: {}, body: Buffer.alloc(bytes, "x") });

  // Guards against responses that count as sent while they wait in memory for a slow client, and are dropped at the end.
  test("a response that waits for a slow client is unfinished, and the client receives all of it", async () => {
    client.socket.pause();
    client.get("/large");
    await elapse(100);
    server.close();
    await elapse(100);
    expect([server.unfinishedResponses, server.connectionCount]).toEqual([1, 1]);
    client.socket.resume();
    await expect.poll(() => client.isClosed, { timeout: 5000 }).toBe(true);
    expect(client.received.length).toBeGreaterThan(LARGE_RESPONSE_BYTES);
    expect(server.unfinishedResponses).toBe(0);
    await expect.poll(() => server.connectionCount).toBe(0);
  });

  // Guards against a reset, which loses the end of a response, by bytes that the client sends behind the last request.
  test("a client that goes on sending behind the response that closes the connection receives it whole", async () => {
    client.socket.pause();
    server.closeClientConnections();
    client.get("/large");
    await elapse(100);
    for (let round = 0; round < 10; round += 1) {
      client.get("/behind", "/behind");
      await elapse(20);
    }
    client.socket.resume();
    await expect.poll(() => client.isClosed, { timeout: 5000 }).toBe(true);
    expect(client.error).toBeUndefined();
    expect(client.statuses).toEqual(["200"]);
    expect(client.received.length).toBeGreaterThan(LARGE_RESPONSE_BYTES);
    expect(waiting.size).toBe(0);
  });

  // Guards against requests that backends work on and that get no response, since an earlier one closed the connection.
  test("the last of several requests in progress closes the connection, requests after it are not handled", async () => {
    client.get("/first", "/second");
    await expect.poll(() => waiting.size).toBe(2);
    server.closeClientConnections();
    client.get("/third");
    await elapse(50);
    respondTo(waiting.get("/first"), 5);
    await expect.poll(() => client.statuses).toEqual(["200"]);
    expect(client.received).not.toMatch(/connection: close/i);
    respondTo(waiting.get("/second"), 5);
    await expect.poll(() => client.isClosed).toBe(true);
    expect(client.statuses).toEqual(["200", "200"]);
    expect(client.received).toMatch(/connection: close/i);
    expect([...waiting.keys()]).toEqual(["/first", "/second"]);
  });

  // Guards against a request without a response that arrived while the event loop was busy, right before the close.
  test("a request that has arrived but isn't read yet when the server closes gets its response", async () => {
    client.get("/early");
    await expect.poll(() => waiting.size).toBe(1);
    respondTo(waiting.get("/early"), 5);
    await expect.poll(() => client.statuses).toEqual(["200"]);
    client.get("/late");
    server.close();
    await expect.poll(() => waiting.size).toBe(2);
    respondTo(waiting.get("/late"), 5);
    await expect.poll(() => client.isClosed).toBe(true);
    expect(client.statuses).toEqual(["200", "200"]);
    expect(client.received).toMatch(/connection: close/i);
  });

  // Guards against resets of clients that connected and sent their requests while the event loop was busy.
  test("connections that wait to be accepted when the server closes get their responses", async () => {
    // The clients write their bytes without this process's event loop.
    const program = `for (let number = 0; number < ${WAITING_CLIENTS}; number += 1) {
        const socket = require("net").connect(${port}, "127.0.0.1");
        socket.write("GET /waiting" + number + " HTTP/1.1\\r\\nhost: a\\r\\n\\r\\n");
        socket.on("data", (bytes) => process.stdout.write(bytes + "\\n"));
        socket.on("error", (error) => process.stdout.write(error.code + "\\n"));
      }`;
    const child = spawn(process.execPath, ["-e", program], { stdio: ["ignore", "pipe", "ignore"] });
    const output: Buffer[] = [];
    child.stdout.on("data", (bytes: Buffer) => output.push(bytes));
    const ended = new Promise<void>((done) => child.once("exit", () => done()));
    blockEventLoop(1000);
    server.close();
    await expect.poll(() => waiting.size).toBe(WAITING_CLIENTS);
    for (const connection of waiting.values()) respondTo(connection, 5);
    await ended;
    const text = Buffer.concat(output).toString();
    expect(text.match(/HTTP\/1\.1 200/g)).toHaveLength(WAITING_CLIENTS);
    expect(text).not.toContain("ECONNRESET");
  });

  test("an idle connection is closed, also if its client doesn't close its side", async () => {
    client.socket.allowHalfOpen = true;
    server.close();
    await expect.poll(() => server.connectionCount, { timeout: 4000 }).toBe(0);
  });
});
