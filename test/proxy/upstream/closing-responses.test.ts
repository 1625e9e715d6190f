import { createServer, type Server, type Socket } from "node:net";
import { expect, test } from "vitest";
import { BackendClient, type BackendResponse } from "../../../src/proxy/upstream/backend-client.js";
import { Clock } from "../../../src/runtime/clock.js";
import { LinkPacers } from "../../../src/runtime/link-pacer.js";
import { Task } from "../../../src/runtime/task.js";

/** 2 Mbit/s: a response of this size waits for turns on the link, again and again. */
const linkMbps = 2;
const largeBytes = 120_000;
const clock = Clock.real();

/** A backend that says that its connection will end, sends a part of its response, and ends it as told. */
const serving = async (sentBytes: number, end: (socket: Socket) => void): Promise<Server> => {
  const server = createServer((socket) => {
    socket.on("error", () => undefined);
    socket.once("data", () => {
      socket.write(`HTTP/1.1 200 OK\r\nContent-Length: ${largeBytes}\r\nConnection: close\r\n\r\n`);
      socket.write(Buffer.alloc(sentBytes, "x"), () => end(socket));
    });
  });
  await new Promise<void>((done) => server.listen(0, "127.0.0.1", done));
  return server;
};

const portOf = (server: Server): number => {
  const bound = server.address();
  return bound !== null && typeof bound === "object" ? bound.port : 0;
};

/** Reads a response, slowly, until it is over or `most` pieces have come, and then gives it up. */
const read = function* (
  opened: BackendResponse,
  most: number,
): Task<{ bytes: number; last: string }> {
  let bytes = 0;
  for (let pieces = 0; pieces < most; pieces += 1) {
    const piece = yield* opened.next();
    if (typeof piece === "string") return { bytes, last: piece };
    bytes += piece.length;
    yield* Clock.sleep(clock, 5);
  }
  opened.cancel();
  return { bytes, last: "given up" };
};

const received = (server: Server, most = Infinity): Promise<{ bytes: number; last: string }> => {
  const backendClient = BackendClient.http(clock, {
    proof: "request",
    pacers: LinkPacers.of(clock, linkMbps),
  });
  return new Promise((done, fail) =>
    Task.start(
      (function* () {
        const opened = yield* backendClient.send({
          address: `127.0.0.1:${portOf(server)}`,
          service: "issues",
          pool: "one",
          request: { method: "GET", path: "/", headers: {}, body: new Uint8Array() },
          untilMs: clock.nowMs() + 20_000,
          maySend: () => true,
        });
        if (typeof opened === "string") return { bytes: 0, last: opened };
        const outcome = yield* read(opened, most);
        // What the library raises, it raises once the connection has ended.
        yield* Clock.sleep(clock, 200);
        backendClient.close();
        server.close();
        return outcome;
      })(),
      fail,
      done,
    ),
  );
};

test("a closing response whose backend ends the connection is read whole over a slow link", async () => {
  const server = await serving(largeBytes, (socket) => socket.end());
  expect(await received(server)).toEqual({ bytes: largeBytes, last: "end" });
});

test("a closing response that breaks off, by an end or a reset, is cut short and ends nothing else", async () => {
  for (const end of [
    (socket: Socket) => socket.end(),
    (socket: Socket) => socket.resetAndDestroy(),
  ]) {
    const server = await serving(largeBytes / 2, end);
    expect((await received(server)).last).toBe("cut");
  }
});

test("a closing response that is given up in the middle ends nothing else", async () => {
  const server = await serving(largeBytes / 2, () => undefined);
  expect((await received(server, 1)).last).toBe("given up");
});
