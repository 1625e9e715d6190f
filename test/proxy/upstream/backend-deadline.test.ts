import { createServer, type Socket } from "node:net";
import { afterEach, describe, expect, test } from "vitest";
import type { OpenResult } from "../../../src/proxy/upstream/backend-client.js";
import { HttpBackendClient } from "../../../src/proxy/upstream/http-backend-client.js";
import { systemClock, sleep } from "../../../src/runtime/clock.js";
import { createLinkPacers } from "../../../src/runtime/link-pacer.js";
import type { Task } from "../../../src/runtime/task.js";
import { VirtualClock } from "../../../src/simulation/virtual-clock.js";
import {
  createAttempt,
  ignoreErrors,
  listen,
  readResponseText,
  runToEnd,
} from "./http-fixtures.js";

/** The timeout of the attempts of `send`, by the clock that a test advances. */
const TIMEOUT_MS = 150;
/** How long real sockets are given to pass bytes on. */
const SETTLE_MS = 50;
const CHUNKED_HEAD = "HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n";

const realClock = systemClock();
const cleanups: Array<() => void> = [];
afterEach(() => {
  for (const cleanup of cleanups.splice(0)) cleanup();
});

/** A backend that hands each connection to a test once its first bytes came. */
const startBackend = async (onRequest: (socket: Socket) => void): Promise<string> => {
  const server = createServer((socket) => {
    ignoreErrors(socket).once("data", () => onRequest(socket));
    cleanups.push(() => socket.destroy());
  });
  cleanups.push(() => server.close());
  return listen(server);
};

/** Sends one request over a real connection, its deadline on a clock that only the test advances. */
const send = (address: string, time: VirtualClock): Promise<OpenResult> => {
  const virtual = time.clock();
  const client = new HttpBackendClient(virtual, { proof: "request" });
  cleanups.push(() => client.close());
  return runToEnd(client.send(createAttempt(address, virtual.nowMs() + TIMEOUT_MS)));
};

describe("deadline of an attempt", () => {
  test("a body that is read only after the deadline is cut short, never complete with a gap", async () => {
    const sockets: Socket[] = [];
    const address = await startBackend((socket) => {
      sockets.push(socket);
      socket.write(`${CHUNKED_HEAD}5\r\nfirst\r\n`);
    });
    const time = new VirtualClock();
    const result = await send(address, time);
    expect(result.kind).toBe("opened");
    await runToEnd(sleep(realClock, SETTLE_MS));
    time.runUntil(TIMEOUT_MS + 10);
    sockets[0]?.write("6\r\nsecond\r\n0\r\n\r\n");
    await runToEnd(sleep(realClock, SETTLE_MS));
    expect(await runToEnd(readResponseText(result))).toMatch(/cut$/);
  });

  test("a reader that waits for the rest of a body is notified at the deadline that it is cut", async () => {
    const address = await startBackend((socket) => {
      socket.write(`${CHUNKED_HEAD}5\r\nfirst\r\n`);
    });
    const time = new VirtualClock();
    const text = runToEnd(readResponseText(await send(address, time)));
    await runToEnd(sleep(realClock, SETTLE_MS));
    time.runUntil(TIMEOUT_MS + 10);
    expect(await text).toBe("first cut");
  });
});

describe("accounting on the link", () => {
  test("a body that was never sent on a connection that ended is no longer counted", async () => {
    const response = "HTTP/1.1 200 OK\r\ncontent-length: 2\r\n\r\nok";
    const address = await startBackend((socket) => {
      socket.write(response.repeat(2));
    });
    const pacers = createLinkPacers(realClock, 100);
    const client = new HttpBackendClient(realClock, { proof: "request", pacers });
    cleanups.push(() => client.close());
    const untilMs = realClock.nowMs() + 20_000;
    const large = { method: "POST", body: new Uint8Array(50_000) };
    const sendBoth = function* (): Task<string[]> {
      const first = yield* readResponseText(yield* client.send(createAttempt(address, untilMs)));
      const second = yield* readResponseText(
        yield* client.send(createAttempt(address, untilMs, large)),
      );
      return [first, second];
    };
    expect(await runToEnd(sendBoth())).toEqual(["ok end", "ok end"]);
    await expect.poll(() => pacers.egress.bulkBytes).toBe(0);
  });
});
