import { afterEach, beforeEach, describe, expect, test } from "vitest";
import { EdgeFixture } from "./edge-fixture.js";
import { RawBackend } from "./raw-backend.js";

const { response, success } = RawBackend;
const wholeBytes = 1024 * 1024;
const heldBytes = 300 * 1024;
const stated = { "content-length": String(wholeBytes) };
const start = Buffer.alloc(heldBytes, "a");
const rest = Buffer.alloc(wholeBytes - heldBytes, "b");

let edge: EdgeFixture;
beforeEach(async () => {
  edge = await EdgeFixture.create(2);
});
afterEach(async () => {
  await edge.close();
});

const heads = (path: string): number =>
  edge.raw.requestHeads.filter((request) => request.path === path).length;
const whole = (path: string): Buffer[] =>
  edge.raw.backends.flatMap(({ requests }) =>
    requests.filter((request) => request.path === path).map(({ body }) => body),
  );

describe("streamed request body", () => {
  test("it arrives complete and once, also where the idle connections are dead", async () => {
    await edge.raw.warmConnections();
    for (const { sockets } of edge.raw.backends) for (const socket of sockets) socket.end();
    const client = edge.connectClient();
    client.request("POST", "/unsafe/up", "try-up", stated, start);
    setTimeout(() => client.socket.write(rest), 30);
    await edge.raw.advanceUntil(() => client.responseCount === 1);
    expect(client.received).toMatch(/^HTTP\/1.1 200 /);
    const bodies = whole("/unsafe/up");
    expect(bodies.length).toBe(1);
    expect(bodies[0]?.equals(Buffer.concat([start, rest]))).toBe(true);
  });
});

describe("response before the end of the request body", () => {
  test.each([
    ["a success", 200, (tryId: string) => success({ tryId }, "early")],
    ["a refusal of its own", 413, (tryId: string) => response(413, { "try-id": tryId }, "early")],
  ] as const)(
    "%s reaches the client, and the request is sent nowhere else",
    async (_what, code, answer) => {
      for (const one of edge.raw.backends)
        one.onHead = ({ tryId }, socket) => socket.write(answer(tryId));
      edge.raw.reply = () => undefined;
      const client = edge.connectClient();
      client.request("POST", "/unsafe/up", "try-up", stated, start);
      await edge.raw.advanceUntil(() => client.responseCount === 1 || client.isClosed);
      await edge.raw.advance(50);
      expect(client.received).toMatch(new RegExp(`^HTTP/1.1 ${code} [^]*early$`));
      expect(heads("/unsafe/up")).toBe(1);
    },
  );

  test("it also reaches a client that continues to send, without a reset, and the client's next request is read", async () => {
    for (const one of edge.raw.backends)
      one.onHead = ({ tryId }, socket) => socket.write(success({ tryId }, "early"));
    edge.raw.reply = () => undefined;
    const client = edge.connectClient();
    const errors: string[] = [];
    client.socket.on("error", ({ message }) => errors.push(message));
    client.request("POST", "/unsafe/up", "try-up", stated, start);
    for (let at = 0; at < rest.length; at += 8192) {
      if (!client.isClosed) client.socket.write(rest.subarray(at, at + 8192));
      await edge.raw.advance(1);
    }
    await edge.raw.advanceUntil(() => client.responseCount === 1 || client.isClosed);
    expect(client.received).toMatch(/^HTTP\/1.1 200 [^]*early$/);
    client.request("GET", "/safe/next", "try-next");
    await edge.raw.advanceUntil(() => client.responseCount === 2 || client.isClosed);
    expect([client.responseCount, errors]).toEqual([2, []]);
  });

  test.each(["/nowhere/up", "/unsafe/up"])(
    "a large body to %s that is sent to no backend: the client gets its response and can go on",
    async (path) => {
      for (const one of edge.raw.backends) await one.close();
      const client = edge.connectClient();
      client.request("POST", path, "try-up", stated, start);
      for (let at = 0; at < rest.length; at += 8192) {
        if (!client.isClosed) client.socket.write(rest.subarray(at, at + 8192));
        await edge.raw.advance(1);
      }
      await edge.raw.advanceUntil(() => client.responseCount === 1 || client.isClosed);
      expect(client.received).toMatch(/^HTTP\/1.1 (404|503) /);
      client.request("GET", "/nowhere/next", "try-next");
      await edge.raw.advanceUntil(() => client.responseCount === 2 || client.isClosed, 3000);
      expect(client.responseCount).toBe(2);
    },
  );

  test("a client that sends without end after an early response is disconnected at the limit on bodies", async () => {
    edge.server.setLimits({ bodyBytes: wholeBytes });
    for (const one of edge.raw.backends)
      one.onHead = ({ tryId }, socket) => socket.write(success({ tryId }, "early"));
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
    "reset by a backend within the body of a request to %s: it is sent once and ends with 502",
    async (path) => {
      for (const one of edge.raw.backends)
        one.onHead = (_request, socket) => socket.resetAndDestroy();
      const client = edge.connectClient();
      client.request("POST", path, "try-up", stated, start);
      await edge.raw.advanceUntil(() => client.responseCount === 1 || client.isClosed);
      expect(client.received).toMatch(/^HTTP\/1.1 502 /);
      await edge.raw.advance(50);
      expect(heads(path)).toBe(1);
    },
  );

  test("a body that its client aborts arrives nowhere as complete", async () => {
    const client = edge.connectClient();
    client.request("POST", "/unsafe/up", "try-up", stated, start);
    await edge.raw.advanceUntil(() => heads("/unsafe/up") === 1);
    client.socket.destroy();
    await edge.raw.advance(100);
    const chunked = edge.connectClient();
    chunked.request("POST", "/unsafe/chunks", "try-chunks", { "transfer-encoding": "chunked" });
    chunked.socket.write(`${heldBytes.toString(16)}\r\n${start.toString("latin1")}\r\n`);
    await edge.raw.advanceUntil(() => heads("/unsafe/chunks") === 1);
    chunked.socket.destroy();
    await edge.raw.advance(1500);
    expect([...whole("/unsafe/up"), ...whole("/unsafe/chunks")]).toEqual([]);
    expect([heads("/unsafe/up"), heads("/unsafe/chunks")]).toEqual([1, 1]);
  });

  test.each(["/unsafe/x", "/safe/x"])(
    "a request to %s whose client closed its connection is not sent to another backend",
    async (path) => {
      edge.raw.reply = () => undefined;
      const client = edge.connectClient();
      client.request("POST", path, "try-x", { "content-length": "0" });
      await edge.raw.advanceUntil(() => heads(path) === 1);
      client.socket.destroy();
      await edge.raw.advance(20);
      for (const { sockets } of edge.raw.backends) for (const socket of sockets) socket.destroy();
      await edge.raw.advance(100);
      expect(heads(path)).toBe(1);
    },
  );

  test("a client that closes its connection while its keyed request runs, and retries, gets 409, then the first response", async () => {
    const answers: Array<() => void> = [];
    edge.raw.reply = (request, socket) => {
      answers.push(() => socket.write(success(request, "first")));
    };
    const gone = edge.connectClient();
    const headers = { "content-length": "0", "op-key": "k-1", "deadline-ms": "900" };
    gone.request("POST", "/slow/x", "try-1", { ...headers, "deadline-ms": "4000" });
    await edge.raw.advanceUntil(() => answers.length === 1);
    gone.socket.destroy();
    const again = edge.connectClient();
    again.request("POST", "/slow/x", "try-2", headers);
    await edge.raw.advanceUntil(() => again.responseCount === 1);
    expect(again.received).toMatch(/^HTTP\/1.1 409 /);
    answers[0]?.();
    await edge.raw.advance(50);
    again.request("POST", "/slow/x", "try-3", headers);
    await edge.raw.advanceUntil(() => again.responseCount === 2);
    expect(again.received).toMatch(/seal-of-first[^]*first$/);
    expect(heads("/slow/x")).toBe(1);
  });
});
