import { createServer, type Socket } from "node:net";
import { afterEach, expect, test } from "vitest";
import { BackendClient, type OpenResult } from "../../../src/proxy/upstream/backend-client.js";
import { VirtualClock } from "../../../src/simulation/virtual-clock.js";
import { Clock } from "../../../src/runtime/clock.js";
import { LinkPacers } from "../../../src/runtime/link-pacer.js";
import { Task } from "../../../src/runtime/task.js";

const clock = Clock.real();
const closing: Array<() => void> = [];
afterEach(() => {
  for (const close of closing.splice(0)) close();
});

/** A back end that hands each connection's first bytes to a test. */
const backend = async (act: (socket: Socket) => void): Promise<string> => {
  const server = createServer((socket) => {
    socket.on("error", () => undefined);
    socket.once("data", () => act(socket));
    closing.push(() => socket.destroy());
  });
  await new Promise<void>((done) => server.listen(0, "127.0.0.1", done));
  closing.push(() => server.close());
  const bound = server.address();
  if (bound === null || typeof bound !== "object") throw new Error("The port has no number.");
  return `127.0.0.1:${bound.port}`;
};

const run = <T>(task: Task<T>): Promise<T> =>
  new Promise((done, fail) => Task.start(task, fail, done));

/** When the tries of `send` are given up, by the clock that a test moves on. */
const deadlineMs = 150;

/** Sends one request over a real connection, its deadline on a clock that only the test moves on. */
const send = (address: string, time: VirtualClock): Promise<OpenResult> => {
  const virtual = time.clock();
  const backendClient = BackendClient.http(virtual, { proof: "request" });
  closing.push(() => backendClient.close());
  return run(
    backendClient.send({
      address,
      service: "any",
      pool: "any",
      request: { method: "GET", path: "/", headers: {}, body: new Uint8Array() },
      untilMs: virtual.nowMs() + deadlineMs,
      maySend: () => true,
    }),
  );
};

/** Reads a response to its end. */
const read = function* (opened: OpenResult): Task<string> {
  if (typeof opened === "string") return opened;
  let text = "";
  for (;;) {
    const piece = yield* opened.next();
    if (typeof piece === "string") return `${text} ${piece}`;
    text += Buffer.from(piece).toString();
  }
};

const chunkedHead = "HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n";

test("a body that its reader takes up only after the deadline is cut short, never whole with a hole in it", async () => {
  const sockets: Socket[] = [];
  const address = await backend((socket) => {
    sockets.push(socket);
    socket.write(`${chunkedHead}5\r\nfirst\r\n`);
  });
  const time = new VirtualClock();
  const opened = await send(address, time);
  expect(typeof opened).toBe("object");
  await run(Clock.sleep(clock, 50));
  time.runUntil(deadlineMs + 10);
  sockets[0]?.write("6\r\nsecond\r\n0\r\n\r\n");
  await run(Clock.sleep(clock, 50));
  expect(await run(read(opened))).toMatch(/cut$/);
});

test("a reader that waits for the rest of a body hears at the deadline that it is cut", async () => {
  const address = await backend((socket) => {
    socket.write(`${chunkedHead}5\r\nfirst\r\n`);
  });
  const time = new VirtualClock();
  const opened = await send(address, time);
  const whole = run(read(opened));
  await run(Clock.sleep(clock, 50));
  time.runUntil(deadlineMs + 10);
  expect(await whole).toBe("first cut");
});

test("a body that never began to leave on a connection that ended is no longer counted on the link", async () => {
  const answer = "HTTP/1.1 200 OK\r\ncontent-length: 2\r\n\r\nok";
  const address = await backend((socket) => {
    socket.write(answer.repeat(2));
  });
  const pacers = LinkPacers.of(clock, 100);
  const backendClient = BackendClient.http(clock, { proof: "request", pacers });
  closing.push(() => backendClient.close());
  const one = (method: string, body: Uint8Array) => ({
    address,
    service: "any",
    pool: "any",
    request: { method, path: "/", headers: {}, body },
    untilMs: clock.nowMs() + 20_000,
    maySend: () => true,
  });
  const read2 = function* (): Task<string[]> {
    const first = yield* read(yield* backendClient.send(one("GET", new Uint8Array())));
    const second = yield* read(yield* backendClient.send(one("POST", new Uint8Array(50_000))));
    return [first, second];
  };
  expect(await run(read2())).toEqual(["ok end", "ok end"]);
  await expect.poll(() => pacers.egress.bulkBytes).toBe(0);
});
