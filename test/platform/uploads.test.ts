import { afterEach, beforeEach, expect, test } from "vitest";
import { EdgeStage } from "./edge-stage.js";
import { RawBackEnd } from "./raw-backend.js";

const { response, success } = RawBackEnd;
const wholeBytes = 1024 * 1024;
const heldBytes = 300 * 1024;
const stated = { "content-length": String(wholeBytes) };
const start = Buffer.alloc(heldBytes, "a");
const rest = Buffer.alloc(wholeBytes - heldBytes, "b");

let edge: EdgeStage;
beforeEach(async () => {
  edge = await EdgeStage.ready(2);
});
afterEach(async () => {
  await edge.close();
});

const heads = (path: string): number =>
  edge.raw.heads.filter((request) => request.path === path).length;
const whole = (path: string): Buffer[] =>
  edge.raw.backEnds.flatMap(({ requests }) =>
    requests.filter((request) => request.path === path).map(({ body }) => body),
  );

test("a body that is passed on as it comes arrives whole and once, also where the idle connections are dead", async () => {
  await edge.raw.useConnections();
  for (const { sockets } of edge.raw.backEnds) for (const socket of sockets) socket.end();
  const client = edge.client();
  client.request("POST", "/unsafe/up", "try-up", stated, start);
  setTimeout(() => client.socket.write(rest), 30);
  await edge.raw.until(() => client.answers === 1);
  expect(client.heard).toMatch(/^HTTP\/1.1 200 /);
  const bodies = whole("/unsafe/up");
  expect(bodies.length).toBe(1);
  expect(bodies[0]?.equals(Buffer.concat([start, rest]))).toBe(true);
});

test.each([
  ["a success", 200, (tryId: string) => success({ tryId }, "early")],
  ["a refusal of its own", 413, (tryId: string) => response(413, { "try-id": tryId }, "early")],
] as const)(
  "%s that comes before the body was sent reaches the client, and the request goes nowhere else",
  async (_what, code, answer) => {
    for (const one of edge.raw.backEnds)
      one.onHead = ({ tryId }, socket) => socket.write(answer(tryId));
    edge.raw.act = () => undefined;
    const client = edge.client();
    client.request("POST", "/unsafe/up", "try-up", stated, start);
    await edge.raw.until(() => client.answers === 1 || client.isClosed);
    await edge.raw.wait(50);
    expect(client.heard).toMatch(new RegExp(`^HTTP/1.1 ${code} [^]*early$`));
    expect(heads("/unsafe/up")).toBe(1);
  },
);

test("an answer before the body was sent reaches also a client that goes on sending, without a reset, and its next request is read", async () => {
  for (const one of edge.raw.backEnds)
    one.onHead = ({ tryId }, socket) => socket.write(success({ tryId }, "early"));
  edge.raw.act = () => undefined;
  const client = edge.client();
  const errors: string[] = [];
  client.socket.on("error", ({ message }) => errors.push(message));
  client.request("POST", "/unsafe/up", "try-up", stated, start);
  for (let at = 0; at < rest.length; at += 8192) {
    if (!client.isClosed) client.socket.write(rest.subarray(at, at + 8192));
    await edge.raw.wait(1);
  }
  await edge.raw.until(() => client.answers === 1 || client.isClosed);
  expect(client.heard).toMatch(/^HTTP\/1.1 200 [^]*early$/);
  client.request("GET", "/safe/next", "try-next");
  await edge.raw.until(() => client.answers === 2 || client.isClosed);
  expect([client.answers, errors]).toEqual([2, []]);
});

test.each(["/nowhere/up", "/unsafe/up"])(
  "a large body to %s that goes to no back end: the client gets its answer and can go on",
  async (path) => {
    for (const one of edge.raw.backEnds) await one.close();
    const client = edge.client();
    client.request("POST", path, "try-up", stated, start);
    for (let at = 0; at < rest.length; at += 8192) {
      if (!client.isClosed) client.socket.write(rest.subarray(at, at + 8192));
      await edge.raw.wait(1);
    }
    await edge.raw.until(() => client.answers === 1 || client.isClosed);
    expect(client.heard).toMatch(/^HTTP\/1.1 (404|503) /);
    client.request("GET", "/nowhere/next", "try-next");
    await edge.raw.until(() => client.answers === 2 || client.isClosed, 3000);
    expect(client.answers).toBe(2);
  },
);

test("a client that goes on without an end behind an early answer is let go at the limit on bodies", async () => {
  edge.server.bound({ bodyBytes: wholeBytes });
  for (const one of edge.raw.backEnds)
    one.onHead = ({ tryId }, socket) => socket.write(success({ tryId }, "early"));
  edge.raw.act = () => undefined;
  const client = edge.client();
  client.request("POST", "/unsafe/up", "try-up", { "transfer-encoding": "chunked" });
  const chunk = `${(65_536).toString(16)}\r\n${"c".repeat(65_536)}\r\n`;
  for (let sent = 0; sent < 40 && !client.isClosed; sent += 1) {
    client.socket.write(chunk);
    await edge.raw.wait(2);
  }
  await edge.raw.until(() => client.isClosed, 2000);
  expect(client.heard).toMatch(/^HTTP\/1.1 200 [^]*early$/);
});

test.each(["/unsafe/up", "/safe/up"])(
  "a back end that resets within the body of a request to %s: it is sent once and ends 502",
  async (path) => {
    for (const one of edge.raw.backEnds)
      one.onHead = (_request, socket) => socket.resetAndDestroy();
    const client = edge.client();
    client.request("POST", path, "try-up", stated, start);
    await edge.raw.until(() => client.answers === 1 || client.isClosed);
    expect(client.heard).toMatch(/^HTTP\/1.1 502 /);
    await edge.raw.wait(50);
    expect(heads(path)).toBe(1);
  },
);

test("a body that its client breaks off arrives nowhere as a whole one", async () => {
  const client = edge.client();
  client.request("POST", "/unsafe/up", "try-up", stated, start);
  await edge.raw.until(() => heads("/unsafe/up") === 1);
  client.socket.destroy();
  await edge.raw.wait(100);
  const chunked = edge.client();
  chunked.request("POST", "/unsafe/chunks", "try-chunks", { "transfer-encoding": "chunked" });
  chunked.socket.write(`${heldBytes.toString(16)}\r\n${start.toString("latin1")}\r\n`);
  await edge.raw.until(() => heads("/unsafe/chunks") === 1);
  chunked.socket.destroy();
  await edge.raw.wait(1500);
  expect([...whole("/unsafe/up"), ...whole("/unsafe/chunks")]).toEqual([]);
  expect([heads("/unsafe/up"), heads("/unsafe/chunks")]).toEqual([1, 1]);
});

test.each(["/unsafe/x", "/safe/x"])(
  "a request to %s whose client went away is not sent to another back end",
  async (path) => {
    edge.raw.act = () => undefined;
    const client = edge.client();
    client.request("POST", path, "try-x", { "content-length": "0" });
    await edge.raw.until(() => heads(path) === 1);
    client.socket.destroy();
    await edge.raw.wait(20);
    for (const { sockets } of edge.raw.backEnds) for (const socket of sockets) socket.destroy();
    await edge.raw.wait(100);
    expect(heads(path)).toBe(1);
  },
);

test("a client that goes away while its keyed request runs and comes again gets 409, then the first's answer", async () => {
  const answers: Array<() => void> = [];
  edge.raw.act = (request, socket) => {
    answers.push(() => socket.write(success(request, "first")));
  };
  const gone = edge.client();
  const headers = { "content-length": "0", "op-key": "k-1", "deadline-ms": "900" };
  gone.request("POST", "/slow/x", "try-1", { ...headers, "deadline-ms": "4000" });
  await edge.raw.until(() => answers.length === 1);
  gone.socket.destroy();
  const again = edge.client();
  again.request("POST", "/slow/x", "try-2", headers);
  await edge.raw.until(() => again.answers === 1);
  expect(again.heard).toMatch(/^HTTP\/1.1 409 /);
  answers[0]?.();
  await edge.raw.wait(50);
  again.request("POST", "/slow/x", "try-3", headers);
  await edge.raw.until(() => again.answers === 2);
  expect(again.heard).toMatch(/seal-of-first[^]*first$/);
  expect(heads("/slow/x")).toBe(1);
});
