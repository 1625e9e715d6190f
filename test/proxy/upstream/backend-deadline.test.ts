/**
 * Guards against a response body that is reported as complete although chunks are missing. The reader discards what arrives
 * after the deadline, so a body that ends later could look complete with a gap.
 */
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

/** Timeout of the attempts that `send` makes, on the virtual clock. */
const TIMEOUT_MS = 150;
/** Time for real sockets to transfer bytes. */
const SETTLE_MS = 50;
const CHUNKED_HEAD = "HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n";

const realClock = systemClock();
const cleanups: Array<() => void> = [];
afterEach(() => {
  for (const cleanup of cleanups.splice(0)) cleanup();
});

/** Starts a backend that passes each connection to the test when its first bytes arrive. */
const startBackend = async (onRequest: (socket: Socket) => void): Promise<string> => {
  const server = createServer((socket) => {
    ignoreErrors(socket).once("data", () => onRequest(socket));
    cleanups.push(() => socket.destroy());
  });
  cleanups.push(() => server.close());
  return listen(server);
};

/** Sends one request over a real connection. Its deadline is on a virtual clock, which only the test advances. */
const send = (address: string, virtualClock: VirtualClock): Promise<OpenResult> => {
  const clock = virtualClock.clock();
  const client = new HttpBackendClient(clock, { proof: "request" });
  cleanups.push(() => client.close());
  return runToEnd(client.send(createAttempt(address, clock.nowMs() + TIMEOUT_MS)));
};

describe("deadline of an attempt", () => {
  test("a body that is read only after the deadline is truncated, never complete with a gap", async () => {
    const sockets: Socket[] = [];
    const address = await startBackend((socket) => {
      sockets.push(socket);
      socket.write(`${CHUNKED_HEAD}5\r\nfirst\r\n`);
    });
    const virtualClock = new VirtualClock();
    const result = await send(address, virtualClock);
    expect(result.kind).toBe("opened");
    await runToEnd(sleep(realClock, SETTLE_MS));
    virtualClock.runUntil(TIMEOUT_MS + 10);
    sockets[0]?.write("6\r\nsecond\r\n0\r\n\r\n");
    await runToEnd(sleep(realClock, SETTLE_MS));
    expect(await runToEnd(readResponseText(result))).toMatch(/cut$/);
  });

  test("a reader that waits for the next chunk gets 'cut' at the deadline", async () => {
    const address = await startBackend((socket) => {
      socket.write(`${CHUNKED_HEAD}5\r\nfirst\r\n`);
    });
    const virtualClock = new VirtualClock();
    const text = runToEnd(readResponseText(await send(address, virtualClock)));
    await runToEnd(sleep(realClock, SETTLE_MS));
    virtualClock.runUntil(TIMEOUT_MS + 10);
    expect(await text).toBe("first cut");
  });
});

describe("accounting on the link", () => {
  test("a request body that was not sent because its connection closed is no longer counted", async () => {
    const response = "HTTP/1.1 200 OK\r\ncontent-length: 2\r\n\r\nok";
    const address = await startBackend((socket) => {
      socket.write(response.repeat(2));
    });
    const pacers = createLinkPacers(realClock, 100);
    const client = new HttpBackendClient(realClock, { proof: "request", pacers });
    cleanups.push(() => client.close());
    const deadlineMs = realClock.nowMs() + 20_000;
    const large = { method: "POST", body: new Uint8Array(50_000) };
    const sendBoth = function* (): Task<string[]> {
      const first = yield* readResponseText(yield* client.send(createAttempt(address, deadlineMs)));
      const second = yield* readResponseText(
        yield* client.send(createAttempt(address, deadlineMs, large)),
      );
      return [first, second];
    };
    expect(await runToEnd(sendBoth())).toEqual(["ok end", "ok end"]);
    await expect.poll(() => pacers.egress.bulkBytes).toBe(0);
  });
});
