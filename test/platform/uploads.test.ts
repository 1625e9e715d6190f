import { afterEach, beforeEach, describe, expect, test } from "vitest";
import { EdgeFixture } from "./edge-fixture.js";
import { RawBackend } from "./raw-backend.js";

const { response, success } = RawBackend;
const bodyBytes = 1024 * 1024;
const firstPartBytes = 300 * 1024;
const lengthHeader = { "content-length": String(bodyBytes) };
const firstPart = Buffer.alloc(firstPartBytes, "a");
const remainder = Buffer.alloc(bodyBytes - firstPartBytes, "b");

let edge: EdgeFixture;
beforeEach(async () => {
  edge = await EdgeFixture.create(2);
});
afterEach(async () => {
  await edge.close();
});

const countHeads = (path: string): number =>
  edge.raw.requestHeads.filter((request) => request.path === path).length;
const completeBodies = (path: string): Buffer[] =>
  edge.raw.backends.flatMap(({ requests }) =>
    requests.filter((request) => request.path === path).map(({ body }) => body),
  );

describe("streamed request body", () => {
  test("it arrives complete and once, also if the idle connections are dead", async () => {
    await edge.raw.warmConnections();
    for (const { sockets } of edge.raw.backends) for (const socket of sockets) socket.end();
    const client = edge.connectClient();
    client.request("POST", "/unsafe/up", "try-up", lengthHeader, firstPart);
    setTimeout(() => client.socket.write(remainder), 30);
    await edge.raw.advanceUntil(() => client.responseCount === 1);
    expect(client.received).toMatch(/^HTTP\/1.1 200 /);
    const bodies = completeBodies("/unsafe/up");
    expect(bodies.length).toBe(1);
    expect(bodies[0]?.equals(Buffer.concat([firstPart, remainder]))).toBe(true);
  });
});

describe("response before the end of the request body", () => {
  test.each([
    ["a success", 200, (tryId: string) => success({ tryId }, "early")],
    ["an error", 413, (tryId: string) => response(413, { "try-id": tryId }, "early")],
  ] as const)(
    "%s reaches the client, and the request is sent to no other backend",
    async (_what, code, createResponse) => {
      for (const backend of edge.raw.backends)
        backend.onHead = ({ tryId }, socket) => socket.write(createResponse(tryId));
      edge.raw.reply = () => undefined;
      const client = edge.connectClient();
      client.request("POST", "/unsafe/up", "try-up", lengthHeader, firstPart);
      await edge.raw.advanceUntil(() => client.responseCount === 1 || client.isClosed);
      await edge.raw.advance(50);
      expect(client.received).toMatch(new RegExp(`^HTTP/1.1 ${code} [^]*early$`));
      expect(countHeads("/unsafe/up")).toBe(1);
    },
  );

  test("it also reaches a client that continues to send, without a reset, and the client's next request is read", async () => {
    for (const backend of edge.raw.backends)
      backend.onHead = ({ tryId }, socket) => socket.write(success({ tryId }, "early"));
    edge.raw.reply = () => undefined;
    const client = edge.connectClient();
    const errors: string[] = [];
    client.socket.on("error", ({ message }) => errors.push(message));
    client.request("POST", "/unsafe/up", "try-up", lengthHeader, firstPart);
    for (let at = 0; at < remainder.length; at += 8192) {
      if (!client.isClosed) client.socket.write(remainder.subarray(at, at + 8192));
      await edge.raw.advance(1);
    }
    await edge.raw.advanceUntil(() => client.responseCount === 1 || client.isClosed);
    expect(client.received).toMatch(/^HTTP\/1.1 200 [^]*early$/);
    client.request("GET", "/safe/next", "try-next");
    await edge.raw.advanceUntil(() => client.responseCount === 2 || client.isClosed);
    expect([client.responseCount, errors]).toEqual([2, []]);
  });

  test.each(["/nowhere/up", "/unsafe/up"])(
    "a large body to %s that is sent to no backend: the client gets its response, and its next request is read",
    async (path) => {
      for (const backend of edge.raw.backends) await backend.close();
      const client = edge.connectClient();
      client.request("POST", path, "try-up", lengthHeader, firstPart);
      for (let at = 0; at < remainder.length; at += 8192) {
        if (!client.isClosed) client.socket.write(remainder.subarray(at, at + 8192));
        await edge.raw.advance(1);
      }
      await edge.raw.advanceUntil(() => client.responseCount === 1 || client.isClosed);
      expect(client.received).toMatch(/^HTTP\/1.1 (404|503) /);
      client.request("GET", "/nowhere/next", "try-next");
      await edge.raw.advanceUntil(() => client.responseCount === 2 || client.isClosed, 3000);
      expect(client.responseCount).toBe(2);
    },
  );

  test("a client that keeps sending after an early response is disconnected at the limit on bodies", async () => {
    edge.server.setLimits({ bodyBytes });
    for (const backend of edge.raw.backends)
      backend.onHead = ({ tryId }, socket) => socket.write(success({ tryId }, "early"));
    edge.raw.reply = () => undefined;
    const client = edge.connectClient();
    client.request("POST", "/unsafe/up", "try-up", { "transfer-encoding": "chunked" });
    const chunk = `${(65_536).toString(16)}\r\n${"c".repeat(65_536)}\r\n`;
    for (let sent = 0; sent < 40 && !client.isClosed; sent += 1) {
      client.socket.write(chunk);
      await edge.raw.advance(2);
    }
    await edge.raw.advanceUntil(() => client.isClosed, 2000);
    expect(client.received).toMatch(/^HTTP\/1.1 200 [^]*early$/);
  });
});

describe("connection that fails during a request", () => {
  test.each(["/unsafe/up", "/safe/up"])(
    "reset by a backend within the body of a request to %s: the request is sent once and ends with 502",
    async (path) => {
      for (const backend of edge.raw.backends)
        backend.onHead = (_request, socket) => socket.resetAndDestroy();
      const client = edge.connectClient();
      client.request("POST", path, "try-up", lengthHeader, firstPart);
      await edge.raw.advanceUntil(() => client.responseCount === 1 || client.isClosed);
      expect(client.received).toMatch(/^HTTP\/1.1 502 /);
      await edge.raw.advance(50);
      expect(countHeads(path)).toBe(1);
    },
  );

  test("no backend receives a body that its client aborts as complete", async () => {
    const client = edge.connectClient();
    client.request("POST", "/unsafe/up", "try-up", lengthHeader, firstPart);
    await edge.raw.advanceUntil(() => countHeads("/unsafe/up") === 1);
    client.socket.destroy();
    await edge.raw.advance(100);
    const chunked = edge.connectClient();
    chunked.request("POST", "/unsafe/chunks", "try-chunks", { "transfer-encoding": "chunked" });
    chunked.socket.write(`${firstPartBytes.toString(16)}\r\n${firstPart.toString("latin1")}\r\n`);
    await edge.raw.advanceUntil(() => countHeads("/unsafe/chunks") === 1);
    chunked.socket.destroy();
    await edge.raw.advance(1500);
    expect([...completeBodies("/unsafe/up"), ...completeBodies("/unsafe/chunks")]).toEqual([]);
    expect([countHeads("/unsafe/up"), countHeads("/unsafe/chunks")]).toEqual([1, 1]);
  });

  test.each(["/unsafe/x", "/safe/x"])(
    "a request to %s whose client closed its connection is not sent to another backend",
    async (path) => {
      edge.raw.reply = () => undefined;
      const client = edge.connectClient();
      client.request("POST", path, "try-x", { "content-length": "0" });
      await edge.raw.advanceUntil(() => countHeads(path) === 1);
      client.socket.destroy();
      await edge.raw.advance(20);
      for (const { sockets } of edge.raw.backends) for (const socket of sockets) socket.destroy();
      await edge.raw.advance(100);
      expect(countHeads(path)).toBe(1);
    },
  );

  test("a client that closes its connection while its keyed request runs, and retries, gets 409, then the first response", async () => {
    const pendingResponses: Array<() => void> = [];
    edge.raw.reply = (request, socket) => {
      pendingResponses.push(() => socket.write(success(request, "first")));
    };
    const disconnected = edge.connectClient();
    const headers = { "content-length": "0", "op-key": "k-1", "deadline-ms": "900" };
    disconnected.request("POST", "/slow/x", "try-1", { ...headers, "deadline-ms": "4000" });
    await edge.raw.advanceUntil(() => pendingResponses.length === 1);
    disconnected.socket.destroy();
    const retrying = edge.connectClient();
    retrying.request("POST", "/slow/x", "try-2", headers);
    await edge.raw.advanceUntil(() => retrying.responseCount === 1);
    expect(retrying.received).toMatch(/^HTTP\/1.1 409 /);
    pendingResponses[0]?.();
    await edge.raw.advance(50);
    retrying.request("POST", "/slow/x", "try-3", headers);
    await edge.raw.advanceUntil(() => retrying.responseCount === 2);
    expect(retrying.received).toMatch(/seal-of-first[^]*first$/);
    expect(countHeads("/slow/x")).toBe(1);
  });
});
