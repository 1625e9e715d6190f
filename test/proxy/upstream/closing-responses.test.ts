import { createServer, type Server, type Socket } from "node:net";
import { describe, expect, test } from "vitest";
import type { BackendResponse } from "../../../src/proxy/upstream/backend-client.js";
import { HttpBackendClient } from "../../../src/proxy/upstream/http-backend-client.js";
import { systemClock, sleep } from "../../../src/runtime/clock.js";
import { createLinkPacers } from "../../../src/runtime/link-pacer.js";
import type { Task } from "../../../src/runtime/task.js";
import { createAttempt, ignoreErrors, listen, runToEnd } from "./http-fixtures.js";

/** 2 Mbit/s: a response of this size waits for turns on the link, again and again. */
const LINK_MBPS = 2;
const LARGE_BYTES = 120_000;
/** How long undici is given to raise what it raises once the connection has ended. */
const SETTLE_MS = 200;

const clock = systemClock();

interface Received {
  readonly bytes: number;
  readonly ending: string;
}

/** A backend that announces the end of its connection, sends a part of its response, and ends it as told. */
const createClosingBackend = (sentBytes: number, end: (socket: Socket) => void): Server =>
  createServer((socket) => {
    ignoreErrors(socket).once("data", () => {
      socket.write(
        `HTTP/1.1 200 OK\r\nContent-Length: ${LARGE_BYTES}\r\nConnection: close\r\n\r\n`,
      );
      socket.write(Buffer.alloc(sentBytes, "x"), () => end(socket));
    });
  });

/** Reads a response, slowly, until it ends or `maxChunks` have come, and then cancels it. */
const readSlowly = function* (response: BackendResponse, maxChunks: number): Task<Received> {
  let bytes = 0;
  for (let chunks = 0; chunks < maxChunks; chunks += 1) {
    const chunk = yield* response.nextChunk();
    if (typeof chunk === "string") return { bytes, ending: chunk };
    bytes += chunk.length;
    yield* sleep(clock, 5);
  }
  response.cancel();
  return { bytes, ending: "cancelled" };
};

/** What is received of a backend's response. */
const receiveFrom = async (server: Server, maxChunks = Infinity): Promise<Received> => {
  const address = await listen(server);
  const pacers = createLinkPacers(clock, LINK_MBPS);
  const client = new HttpBackendClient(clock, { proof: "request", pacers });
  const exchange = function* (): Task<Received> {
    const result = yield* client.send(createAttempt(address, clock.nowMs() + 20_000));
    if (result.kind === "failed") return { bytes: 0, ending: result.cause };
    const received = yield* readSlowly(result.response, maxChunks);
    yield* sleep(clock, SETTLE_MS);
    return received;
  };
  try {
    return await runToEnd(exchange());
  } finally {
    client.close();
    server.close();
  }
};

describe("response that closes its connection", () => {
  test("it is read to its end over a slow link after the backend ended the connection", async () => {
    const server = createClosingBackend(LARGE_BYTES, (socket) => socket.end());
    expect(await receiveFrom(server)).toEqual({ bytes: LARGE_BYTES, ending: "end" });
  });

  test("cut short by an end or a reset, it is reported as cut, and the process goes on", async () => {
    for (const end of [
      (socket: Socket) => socket.end(),
      (socket: Socket) => socket.resetAndDestroy(),
    ]) {
      const server = createClosingBackend(LARGE_BYTES / 2, end);
      expect((await receiveFrom(server)).ending).toBe("cut");
    }
  });

  test("cancelled in the middle, it ends nothing else", async () => {
    const server = createClosingBackend(LARGE_BYTES / 2, () => undefined);
    expect((await receiveFrom(server, 1)).ending).toBe("cancelled");
  });
});
