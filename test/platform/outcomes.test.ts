import type { Socket } from "node:net";
import { afterEach, expect, test } from "vitest";
import { RawBackEnd, type RawRequest } from "./raw-backend.js";
import { RawStage } from "./raw-stage.js";

let staged: RawStage | undefined;
const ready = async (count = 2): Promise<RawStage> => {
  staged = await RawStage.ready(count);
  return staged;
};
afterEach(async () => {
  await staged?.close();
  staged = undefined;
});

/** One way in which a back end ends an exchange, and what must follow. */
interface Row {
  readonly way: string;
  readonly act: (request: RawRequest, socket: Socket) => void;
  /** What the client of an unsafe request gets. */
  readonly code: number;
  /** May another back end be asked also by an unsafe request? */
  readonly sentOn?: true;
  /** Whether the connection carries the next request. */
  readonly kept?: true;
  readonly method?: string;
}

const { response, success } = RawBackEnd;
const other = { tryId: "another" };
const unrun = (tryId: string, code: number): string =>
  response(code, { "try-id": tryId, "not-run": "1" }, "full");
const misdirected = (tryId: string): string => response(421, { "try-id": tryId });

const rows: Row[] = [
  { way: "a reset before any byte", act: (_, socket) => socket.resetAndDestroy(), code: 502 },
  { way: "a close before any byte", act: (_, socket) => socket.end(), code: 502 },
  { way: "silence until the deadline", act: () => undefined, code: 504 },
  {
    way: "a reset within the head",
    act: (_, socket) => socket.write("HTTP/1.1 200 OK\r\ntry-", () => socket.resetAndDestroy()),
    code: 502,
  },
  {
    way: "a close within the body",
    act: (request, socket) => socket.end(success(request, "whole").slice(0, -2)),
    code: 502,
  },
  {
    way: "a reset within the body",
    act: (request, socket) =>
      socket.write(success(request, "whole").slice(0, -2), () => socket.resetAndDestroy()),
    code: 502,
  },
  {
    way: "silence within the body until the deadline",
    act: (request, socket) => socket.write(success(request, "whole").slice(0, -2)),
    code: 502,
  },
  {
    way: "a close within chunks",
    act: ({ tryId }, socket) =>
      socket.end(
        `HTTP/1.1 200 OK\r\ntry-id: ${tryId}\r\nseal: s\r\ntransfer-encoding: chunked\r\n\r\n4\r\nwhol\r\n`,
      ),
    code: 502,
  },
  {
    way: "a body that ends with the connection",
    act: ({ tryId }, socket) =>
      socket.end(`HTTP/1.1 200 OK\r\ntry-id: ${tryId}\r\nseal: s\r\n\r\nwhole`),
    code: 502,
  },
  {
    way: "garbled bytes",
    act: (_, socket) => socket.write("\u0000\u00ffnot http\r\n\r\n"),
    code: 502,
  },
  {
    way: "two lengths that differ",
    act: ({ tryId }, socket) =>
      socket.write(
        `HTTP/1.1 200 OK\r\ntry-id: ${tryId}\r\nseal: s\r\ncontent-length: 2\r\ncontent-length: 4\r\n\r\nwhol`,
      ),
    code: 502,
  },
  {
    way: "a length and chunks at once",
    act: ({ tryId }, socket) =>
      socket.write(
        `HTTP/1.1 200 OK\r\ntry-id: ${tryId}\r\nseal: s\r\ncontent-length: 4\r\ntransfer-encoding: chunked\r\n\r\n4\r\nwhol\r\n0\r\n\r\n`,
      ),
    code: 502,
  },
  {
    way: "another request's success",
    act: (_, socket) => socket.write(success(other, "theirs")),
    code: 502,
  },
  {
    way: "another request's answer, then its own",
    act: (request, socket) => socket.write(success(other, "theirs") + success(request, "own")),
    code: 502,
  },
  {
    way: "another request's 421",
    act: (_, socket) => socket.write(misdirected("another")),
    code: 502,
  },
  {
    way: "another request's Not-Run",
    act: (_, socket) => socket.write(unrun("another", 503)),
    code: 502,
  },
  {
    way: "a 503 without Not-Run",
    act: ({ tryId }, socket) => socket.write(response(503, { "try-id": tryId })),
    code: 502,
  },
  {
    way: "its own Not-Run",
    act: ({ tryId }, socket) => socket.write(unrun(tryId, 503)),
    code: 503,
    sentOn: true,
    kept: true,
  },
  {
    way: "its own 421",
    act: ({ tryId }, socket) => socket.write(misdirected(tryId)),
    code: 503,
    sentOn: true,
  },
  {
    way: "a whole answer",
    act: (request, socket) => socket.write(success(request, "own")),
    code: 200,
    kept: true,
  },
  {
    way: "a failure of its own",
    act: ({ tryId }, socket) => socket.write(response(500, { "try-id": tryId }, "own")),
    code: 500,
    kept: true,
  },
  {
    way: "a whole answer with Connection: close",
    act: (request, socket) => socket.end(success(request, "own", { connection: "close" })),
    code: 200,
  },
  {
    way: "a whole answer with Connection: close that never closes",
    act: (request, socket) => socket.write(success(request, "own", { connection: "close" })),
    code: 200,
  },
  {
    way: "a whole answer and a reset at once",
    act: (request, socket) =>
      socket.write(success(request, "own"), () => setTimeout(() => socket.resetAndDestroy(), 5)),
    code: 200,
  },
  {
    way: "a whole answer with its duplicate behind it",
    act: (request, socket) => socket.write(success(request, "own") + success(request, "own")),
    code: 200,
  },
  {
    way: "a whole answer, its duplicate some time later",
    act: (request, socket) => {
      socket.write(success(request, "own"));
      setTimeout(() => socket.write(success(request, "own")), 20);
    },
    code: 200,
  },
  {
    way: "a whole answer with surplus bytes behind it",
    act: (request, socket) => socket.write(`${success(request, "own")}and more`),
    code: 200,
  },
  {
    way: "interim answers before the whole one",
    act: (request, socket) =>
      socket.write(
        `HTTP/1.1 102 Processing\r\n\r\nHTTP/1.1 103 Hints\r\nlink: x\r\n\r\n${success(request, "own")}`,
      ),
    code: 200,
    kept: true,
  },
  {
    way: "an unasked 100 before the whole answer",
    act: (request, socket) =>
      socket.write(`HTTP/1.1 100 Continue\r\n\r\n${success(request, "own")}`),
    code: 502,
  },
  {
    way: "an answer 204",
    act: ({ tryId }, socket) =>
      socket.write(`HTTP/1.1 204 None\r\ntry-id: ${tryId}\r\nseal: s\r\n\r\n`),
    code: 204,
    kept: true,
  },
  {
    way: "an answer 304 that states the length of what it doesn't send",
    act: ({ tryId }, socket) =>
      socket.write(`HTTP/1.1 304 Same\r\ntry-id: ${tryId}\r\ncontent-length: 400\r\n\r\n`),
    code: 304,
  },
  {
    way: "an answer to HEAD that states the length of what it doesn't send",
    act: ({ tryId }, socket) =>
      socket.write(`HTTP/1.1 200 OK\r\ntry-id: ${tryId}\r\nseal: s\r\ncontent-length: 400\r\n\r\n`),
    code: 200,
    method: "HEAD",
  },
];

test.each(rows)(
  "$way, on a connection that was used before: an unsafe request ends as it must and arrives once unless it was turned away",
  async ({ act, code, sentOn, method = "POST" }) => {
    const stage = await ready(3);
    await stage.useConnections();
    stage.act = act;
    const seen = await stage.ask(method, "/thriceUnsafe/x", { "deadline-ms": "400" });
    await stage.wait(40);
    expect([seen.code, seen.ending, seen.begun]).toEqual([code, "whole", false]);
    const arrivals = stage.heads.filter(({ path }) => path === "/thriceUnsafe/x");
    expect(arrivals.length).toBe(sentOn ? 3 : 1);
    expect(new Set(arrivals.map(({ tryId }) => tryId)).size).toBe(1);
    expect(seen.body.toString()).not.toContain("theirs");
    if (code === 502) expect(seen.headers).not.toHaveProperty("seal");
  },
);

test.each(rows.filter(({ way }) => way !== "its own 421"))(
  "$way: whether the connection carries the next request",
  async ({ act, kept, method = "POST" }) => {
    const stage = await ready(1);
    await stage.useConnections();
    const [backend] = stage.backEnds;
    if (!backend) throw new Error("There is no back end.");
    const used = backend.heads.length;
    const connection = backend.heads[used - 1]?.connection;
    backend.act = act;
    await stage.ask(method, "/unsafe/x", { "deadline-ms": "400" });
    await stage.wait(300);
    backend.act = (request, socket) => socket.write(success(request, "next"));
    const next = await stage.ask("POST", "/unsafe/next");
    expect([next.code, next.body.toString()]).toEqual([200, "next"]);
    const last = backend.heads.at(-1);
    expect([backend.heads[used]?.connection, last?.connection === connection]).toEqual([
      connection,
      kept === true,
    ]);
  },
);

test.each(rows.filter(({ code }) => code === 502 || code === 504 || code === 503))(
  "$way: a safe request goes to another back end, where its deadline allows",
  async ({ act }) => {
    const stage = await ready(2);
    await stage.useConnections();
    const before = stage.heads.length;
    let arrivals = 0;
    stage.act = (request, socket) => {
      arrivals += 1;
      if (arrivals === 1) act(request, socket);
      else socket.write(success(request, "right"));
    };
    const seen = await stage.ask("GET", "/safe/x", { "deadline-ms": "400" });
    const isSilent = seen.code === 504 || (seen.code === 502 && seen.tookMs > 390);
    expect([seen.code, seen.body.toString()]).toEqual(
      isSilent ? [seen.code, seen.body.toString()] : [200, "right"],
    );
    expect(stage.heads.length - before).toBe(isSilent ? 1 : 2);
  },
);

test("a request under way when the daemon closes its connections is not sent again", async () => {
  const stage = await ready(1);
  expect((await stage.ask("POST", "/unsafe/first")).code).toBe(200);
  stage.act = () => undefined;
  const seen = stage.stage.send("POST", "/unsafe/second");
  await stage.until(() => stage.heads.length === 2);
  stage.connections.close();
  await stage.until(() => seen.ending !== "open");
  await stage.wait(100);
  expect(stage.heads.map(({ path }) => path)).toEqual(["/unsafe/first", "/unsafe/second"]);
  expect(seen.code).toBe(502);
});

test("a second Not-Run that names no request is not taken for word about the next one", async () => {
  const stage = await ready(2);
  await stage.useConnections();
  const unnamed = response(503, { "not-run": "1" }, "full");
  const declinedOn = new Set<Socket>();
  stage.act = ({ path }, socket) => {
    if (path === "/safe/turned-away") declinedOn.add(socket);
    if (declinedOn.has(socket)) socket.write(unnamed);
    else socket.write(success(other, "theirs"));
  };
  expect((await stage.ask("GET", "/safe/turned-away")).code).toBe(503);
  expect(declinedOn.size).toBe(2);
  await stage.ask("POST", "/unsafe/next");
  expect(stage.heads.filter(({ path }) => path === "/unsafe/next").length).toBe(1);
  stage.act = (request, socket) => socket.write(success(request, "fine"));
  expect((await stage.ask("GET", "/safe/x")).code).toBe(200);
  const connections = stage.backEnds.map(({ sockets }) => sockets.length);
  expect(Math.max(...connections)).toBeLessThanOrEqual(2);
});

const broken = rows.filter(({ way }) => /^a (reset|close)|^garbled/u.test(way));
test.each(
  broken.flatMap(({ way, act }) =>
    ["GET", "PUT", "DELETE"].map((method) => ({ way, act, method })),
  ),
)(
  "$way: a $method that its route calls unsafe is not repeated either, by the library least of all",
  async ({ act, method }) => {
    const stage = await ready(3);
    await stage.useConnections();
    stage.act = act;
    const seen = await stage.ask(method, "/thriceUnsafe/x", { "deadline-ms": "400" });
    await stage.wait(40);
    expect(seen.code).toBe(502);
    expect(stage.heads.filter(({ path }) => path === "/thriceUnsafe/x").length).toBe(1);
  },
);

test.each([
  ["at once", 0],
  ["a moment later", 1],
])(
  "an answer that a back end sends %s, before any request, belongs to no request",
  async (_when, waitMs) => {
    const stage = await ready(2);
    for (const one of stage.backEnds) {
      one.onConnection = (socket) => {
        const write = (): unknown => socket.write(success(other, "theirs"));
        if (waitMs === 0) write();
        else setTimeout(write, waitMs);
      };
    }
    for (let round = 0; round < 20; round += 1) {
      const seen = await stage.ask("POST", `/unsafe/${round}`, { "deadline-ms": "400" });
      const arrivals = stage.heads.filter(({ path }) => path === `/unsafe/${round}`).length;
      expect(seen.body.toString()).not.toContain("theirs");
      expect(arrivals).toBeLessThanOrEqual(seen.code === 503 ? 0 : 1);
      expect([200, 502, 503]).toContain(seen.code);
    }
  },
);
