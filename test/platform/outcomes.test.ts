import type { Socket } from "node:net";
import { afterEach, describe, expect, test } from "vitest";
import { RawBackend, type RawRequest } from "./raw-backend.js";
import { RawBackendFixture } from "./raw-backend-fixture.js";

let staged: RawBackendFixture | undefined;
const ready = async (count = 2): Promise<RawBackendFixture> => {
  staged = await RawBackendFixture.create(count);
  return staged;
};
afterEach(async () => {
  await staged?.close();
  staged = undefined;
});

/** One way in which a backend ends an exchange, and what must follow. */
interface Row {
  readonly way: string;
  readonly reply: (request: RawRequest, socket: Socket) => void;
  /** What the client of an unsafe request gets. */
  readonly code: number;
  /** An unsafe request may be sent to another backend too. */
  readonly sentOn?: true;
  /** Whether the connection carries the next request. */
  readonly kept?: true;
  readonly method?: string;
}

const { response, success } = RawBackend;
const other = { tryId: "another" };
const unrun = (tryId: string, code: number): string =>
  response(code, { "try-id": tryId, "not-run": "1" }, "full");
const misdirected = (tryId: string): string => response(421, { "try-id": tryId });

const rows: Row[] = [
  { way: "a reset before any byte", reply: (_, socket) => socket.resetAndDestroy(), code: 502 },
  { way: "a close before any byte", reply: (_, socket) => socket.end(), code: 502 },
  { way: "silence until the deadline", reply: () => undefined, code: 504 },
  {
    way: "a reset within the head",
    reply: (_, socket) => socket.write("HTTP/1.1 200 OK\r\ntry-", () => socket.resetAndDestroy()),
    code: 502,
  },
  {
    way: "a close within the body",
    reply: (request, socket) => socket.end(success(request, "whole").slice(0, -2)),
    code: 502,
  },
  {
    way: "a reset within the body",
    reply: (request, socket) =>
      socket.write(success(request, "whole").slice(0, -2), () => socket.resetAndDestroy()),
    code: 502,
  },
  {
    way: "silence within the body until the deadline",
    reply: (request, socket) => socket.write(success(request, "whole").slice(0, -2)),
    code: 502,
  },
  {
    way: "a close within chunks",
    reply: ({ tryId }, socket) =>
      socket.end(
        `HTTP/1.1 200 OK\r\ntry-id: ${tryId}\r\nseal: s\r\ntransfer-encoding: chunked\r\n\r\n4\r\nwhol\r\n`,
      ),
    code: 502,
  },
  {
    way: "a body that ends with the connection",
    reply: ({ tryId }, socket) =>
      socket.end(`HTTP/1.1 200 OK\r\ntry-id: ${tryId}\r\nseal: s\r\n\r\nwhole`),
    code: 502,
  },
  {
    way: "garbled bytes",
    reply: (_, socket) => socket.write("\u0000\u00ffnot http\r\n\r\n"),
    code: 502,
  },
  {
    way: "two lengths that differ",
    reply: ({ tryId }, socket) =>
      socket.write(
        `HTTP/1.1 200 OK\r\ntry-id: ${tryId}\r\nseal: s\r\ncontent-length: 2\r\ncontent-length: 4\r\n\r\nwhol`,
      ),
    code: 502,
  },
  {
    way: "a length and chunks at once",
    reply: ({ tryId }, socket) =>
      socket.write(
        `HTTP/1.1 200 OK\r\ntry-id: ${tryId}\r\nseal: s\r\ncontent-length: 4\r\ntransfer-encoding: chunked\r\n\r\n4\r\nwhol\r\n0\r\n\r\n`,
      ),
    code: 502,
  },
  {
    way: "another request's success",
    reply: (_, socket) => socket.write(success(other, "theirs")),
    code: 502,
  },
  {
    way: "another request's answer, then its own",
    reply: (request, socket) => socket.write(success(other, "theirs") + success(request, "own")),
    code: 502,
  },
  {
    way: "another request's 421",
    reply: (_, socket) => socket.write(misdirected("another")),
    code: 502,
  },
  {
    way: "another request's Not-Run",
    reply: (_, socket) => socket.write(unrun("another", 503)),
    code: 502,
  },
  {
    way: "a 503 without Not-Run",
    reply: ({ tryId }, socket) => socket.write(response(503, { "try-id": tryId })),
    code: 502,
  },
  {
    way: "its own Not-Run",
    reply: ({ tryId }, socket) => socket.write(unrun(tryId, 503)),
    code: 503,
    sentOn: true,
    kept: true,
  },
  {
    way: "its own 421",
    reply: ({ tryId }, socket) => socket.write(misdirected(tryId)),
    code: 503,
    sentOn: true,
  },
  {
    way: "a whole answer",
    reply: (request, socket) => socket.write(success(request, "own")),
    code: 200,
    kept: true,
  },
  {
    way: "a failure of its own",
    reply: ({ tryId }, socket) => socket.write(response(500, { "try-id": tryId }, "own")),
    code: 500,
    kept: true,
  },
  {
    way: "a whole answer with Connection: close",
    reply: (request, socket) => socket.end(success(request, "own", { connection: "close" })),
    code: 200,
  },
  {
    way: "a whole answer with Connection: close that never closes",
    reply: (request, socket) => socket.write(success(request, "own", { connection: "close" })),
    code: 200,
  },
  {
    way: "a whole answer and a reset at once",
    reply: (request, socket) =>
      socket.write(success(request, "own"), () => setTimeout(() => socket.resetAndDestroy(), 5)),
    code: 200,
  },
  {
    way: "a whole answer with its duplicate behind it",
    reply: (request, socket) => socket.write(success(request, "own") + success(request, "own")),
    code: 200,
  },
  {
    way: "a whole answer, its duplicate some time later",
    reply: (request, socket) => {
      socket.write(success(request, "own"));
      setTimeout(() => socket.write(success(request, "own")), 20);
    },
    code: 200,
  },
  {
    way: "a whole answer with surplus bytes behind it",
    reply: (request, socket) => socket.write(`${success(request, "own")}and more`),
    code: 200,
  },
  {
    way: "interim answers before the whole one",
    reply: (request, socket) =>
      socket.write(
        `HTTP/1.1 102 Processing\r\n\r\nHTTP/1.1 103 Hints\r\nlink: x\r\n\r\n${success(request, "own")}`,
      ),
    code: 200,
    kept: true,
  },
  {
    way: "an unasked 100 before the whole answer",
    reply: (request, socket) =>
      socket.write(`HTTP/1.1 100 Continue\r\n\r\n${success(request, "own")}`),
    code: 502,
  },
  {
    way: "an answer 204",
    reply: ({ tryId }, socket) =>
      socket.write(`HTTP/1.1 204 None\r\ntry-id: ${tryId}\r\nseal: s\r\n\r\n`),
    code: 204,
    kept: true,
  },
  {
    way: "an answer 304 that states the length of what it doesn't send",
    reply: ({ tryId }, socket) =>
      socket.write(`HTTP/1.1 304 Same\r\ntry-id: ${tryId}\r\ncontent-length: 400\r\n\r\n`),
    code: 304,
  },
  {
    way: "an answer to HEAD that states the length of what it doesn't send",
    reply: ({ tryId }, socket) =>
      socket.write(`HTTP/1.1 200 OK\r\ntry-id: ${tryId}\r\nseal: s\r\ncontent-length: 400\r\n\r\n`),
    code: 200,
    method: "HEAD",
  },
];

const broken = rows.filter(({ way }) => /^a (reset|close)|^garbled/u.test(way));

describe("outcome of an attempt on a reused connection", () => {
  test.each(rows)(
    "$way: an unsafe request gets its status, and arrives once unless it was declined",
    async ({ reply, code, sentOn, method = "POST" }) => {
      const fixture = await ready(3);
      await fixture.warmConnections();
      fixture.reply = reply;
      const client = await fixture.exchange(method, "/thriceUnsafe/x", { "deadline-ms": "400" });
      await fixture.advance(40);
      expect([client.code, client.ending, client.isStreamed]).toEqual([code, "whole", false]);
      const arrivals = fixture.requestHeads.filter(({ path }) => path === "/thriceUnsafe/x");
      expect(arrivals.length).toBe(sentOn ? 3 : 1);
      expect(new Set(arrivals.map(({ tryId }) => tryId)).size).toBe(1);
      expect(client.body.toString()).not.toContain("theirs");
      if (code === 502) expect(client.headers).not.toHaveProperty("seal");
    },
  );
});

describe("reuse of a connection", () => {
  test.each(rows.filter(({ way }) => way !== "its own 421"))(
    "$way: whether the connection carries the next request",
    async ({ reply, kept, method = "POST" }) => {
      const fixture = await ready(1);
      await fixture.warmConnections();
      const [backend] = fixture.backends;
      if (!backend) throw new Error("There is no backend.");
      const used = backend.requestHeads.length;
      const connection = backend.requestHeads[used - 1]?.connection;
      backend.reply = reply;
      await fixture.exchange(method, "/unsafe/x", { "deadline-ms": "400" });
      await fixture.advance(300);
      backend.reply = (request, socket) => socket.write(success(request, "next"));
      const next = await fixture.exchange("POST", "/unsafe/next");
      expect([next.code, next.body.toString()]).toEqual([200, "next"]);
      const last = backend.requestHeads.at(-1);
      expect([backend.requestHeads[used]?.connection, last?.connection === connection]).toEqual([
        connection,
        kept === true,
      ]);
    },
  );
});

describe("retry of a safe request", () => {
  test.each(rows.filter(({ code }) => code === 502 || code === 504 || code === 503))(
    "$way: it is sent to another backend, where its deadline allows",
    async ({ reply }) => {
      const fixture = await ready(2);
      await fixture.warmConnections();
      const before = fixture.requestHeads.length;
      let arrivals = 0;
      fixture.reply = (request, socket) => {
        arrivals += 1;
        if (arrivals === 1) reply(request, socket);
        else socket.write(success(request, "right"));
      };
      const client = await fixture.exchange("GET", "/safe/x", { "deadline-ms": "400" });
      const isSilent = client.code === 504 || (client.code === 502 && client.tookMs > 390);
      expect([client.code, client.body.toString()]).toEqual(
        isSilent ? [client.code, client.body.toString()] : [200, "right"],
      );
      expect(fixture.requestHeads.length - before).toBe(isSilent ? 1 : 2);
    },
  );
});

describe("responses and connections at fault", () => {
  test("a request in progress when the daemon closes its connections is not sent again", async () => {
    const fixture = await ready(1);
    expect((await fixture.exchange("POST", "/unsafe/first")).code).toBe(200);
    fixture.reply = () => undefined;
    const client = fixture.proxy.send("POST", "/unsafe/second");
    await fixture.advanceUntil(() => fixture.requestHeads.length === 2);
    fixture.backendClient.close();
    await fixture.advanceUntil(() => client.ending !== "open");
    await fixture.advance(100);
    expect(fixture.requestHeads.map(({ path }) => path)).toEqual([
      "/unsafe/first",
      "/unsafe/second",
    ]);
    expect(client.code).toBe(502);
  });

  test("a second Not-Run that names no request is not taken for the response to the next one", async () => {
    const fixture = await ready(2);
    await fixture.warmConnections();
    const unnamed = response(503, { "not-run": "1" }, "full");
    const declinedOn = new Set<Socket>();
    fixture.reply = ({ path }, socket) => {
      if (path === "/safe/turned-away") declinedOn.add(socket);
      if (declinedOn.has(socket)) socket.write(unnamed);
      else socket.write(success(other, "theirs"));
    };
    expect((await fixture.exchange("GET", "/safe/turned-away")).code).toBe(503);
    expect(declinedOn.size).toBe(2);
    await fixture.exchange("POST", "/unsafe/next");
    expect(fixture.requestHeads.filter(({ path }) => path === "/unsafe/next").length).toBe(1);
    fixture.reply = (request, socket) => socket.write(success(request, "fine"));
    expect((await fixture.exchange("GET", "/safe/x")).code).toBe(200);
    const connections = fixture.backends.map(({ sockets }) => sockets.length);
    expect(Math.max(...connections)).toBeLessThanOrEqual(2);
  });
  test.each(
    broken.flatMap(({ way, reply }) =>
      ["GET", "PUT", "DELETE"].map((method) => ({ way, reply, method })),
    ),
  )(
    "$way: a $method on an unsafe route is not repeated either, least of all by the HTTP library",
    async ({ reply, method }) => {
      const fixture = await ready(3);
      await fixture.warmConnections();
      fixture.reply = reply;
      const client = await fixture.exchange(method, "/thriceUnsafe/x", { "deadline-ms": "400" });
      await fixture.advance(40);
      expect(client.code).toBe(502);
      expect(fixture.requestHeads.filter(({ path }) => path === "/thriceUnsafe/x").length).toBe(1);
    },
  );

  test.each([
    ["at once", 0],
    ["a moment later", 1],
  ])(
    "a response that a backend sends %s, before any request, is forwarded to no request",
    async (_when, waitMs) => {
      const fixture = await ready(2);
      for (const one of fixture.backends) {
        one.onConnection = (socket) => {
          const write = (): unknown => socket.write(success(other, "theirs"));
          if (waitMs === 0) write();
          else setTimeout(write, waitMs);
        };
      }
      for (let round = 0; round < 20; round += 1) {
        const client = await fixture.exchange("POST", `/unsafe/${round}`, { "deadline-ms": "400" });
        const arrivals = fixture.requestHeads.filter(
          ({ path }) => path === `/unsafe/${round}`,
        ).length;
        expect(client.body.toString()).not.toContain("theirs");
        expect(arrivals).toBeLessThanOrEqual(client.code === 503 ? 0 : 1);
        expect([200, 502, 503]).toContain(client.code);
      }
    },
  );
});
