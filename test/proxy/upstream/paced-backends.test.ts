import { createServer, type Server } from "node:http";
import { describe, expect, test } from "vitest";
import type { BackendClient } from "../../../src/proxy/upstream/backend-client.js";
import { HttpBackendClient } from "../../../src/proxy/upstream/http-backend-client.js";
import { systemClock, sleep } from "../../../src/runtime/clock.js";
import { type LinkPacers, createLinkPacers } from "../../../src/runtime/link-pacer.js";
import {
  createAttempt,
  createBodyServer,
  listen,
  readResponse,
  runToEnd,
} from "./http-fixtures.js";

/** 8 Mbit/s are 1,000 bytes per ms, of which the pacer uses 900. */
const LINK_MBPS = 8;
const USABLE_BYTES_PER_MS = 900;
const TIMEOUT_MS = 20_000;

const clock = systemClock();

interface Exchange {
  /** The text of a short body, the ending of a longer one, or the cause of a failed attempt. */
  readonly text: string;
  readonly bytes: number;
  readonly durationMs: number;
}

const sendRequest = (
  client: BackendClient,
  address: string,
  path: string,
  body = new Uint8Array(),
): Promise<Exchange> =>
  runToEnd(
    (function* () {
      const startedMs = clock.nowMs();
      const method = body.length > 0 ? "POST" : "GET";
      const attempt = createAttempt(address, startedMs + TIMEOUT_MS, { method, path, body });
      const result = yield* client.send(attempt);
      if (result.kind === "failed") return { text: result.cause, bytes: 0, durationMs: 0 };
      const response = yield* readResponse(result);
      return {
        text: response.body.length < 100 ? response.body.toString() : response.ending,
        bytes: response.body.length,
        durationMs: clock.nowMs() - startedMs,
      };
    })(),
  );

/** Runs a test with a backend and a client that is paced at the rate of a link, and closes both afterwards. */
const withBackend = async (
  server: Server,
  linkMbps: number,
  runTest: (client: BackendClient, address: string, pacers: LinkPacers) => Promise<void>,
): Promise<void> => {
  const address = await listen(server);
  const pacers = createLinkPacers(clock, linkMbps);
  const client = new HttpBackendClient(clock, { proof: "request", pacers });
  try {
    await runTest(client, address, pacers);
  } finally {
    client.close();
    server.close();
    server.closeAllConnections();
  }
};

describe("large responses on a paced link", () => {
  test("they are read together at the rate of the link, and don't delay a short one", async () => {
    const largeBytes = 800_000;
    const server = createBodyServer((path) =>
      path === "/short" ? "short" : Buffer.alloc(largeBytes, "x"),
    );
    await withBackend(server, LINK_MBPS, async (client, address) => {
      const ended: string[] = [];
      const sendAndRecord = async (path: string): Promise<Exchange> => {
        const exchange = await sendRequest(client, address, path);
        ended.push(path);
        return exchange;
      };
      const large = [sendAndRecord("/one"), sendAndRecord("/two")];
      await runToEnd(sleep(clock, 100));
      expect((await sendAndRecord("/short")).text).toBe("short");
      expect(ended).toEqual(["/short"]);
      const linkMs = (2 * largeBytes) / USABLE_BYTES_PER_MS;
      const exchanges = await Promise.all(large);
      for (const exchange of exchanges)
        expect(exchange).toMatchObject({ text: "end", bytes: largeBytes });
      // Both are due at nearly the same time, so either may end first.
      const [firstMs, secondMs] = exchanges
        .map(({ durationMs }) => durationMs)
        .sort((a, b) => a - b);
      expect(firstMs).toBeGreaterThan(linkMs * 0.4);
      expect(secondMs).toBeGreaterThan(linkMs * 0.75);
    });
  });

  test("many concurrent ones are all read completely, whichever connection's bytes resume another one", async () => {
    const largeBytes = 300_000;
    const server = createBodyServer(() => Buffer.alloc(largeBytes, "x"));
    await withBackend(server, 100, async (client, address) => {
      const exchanges = Array.from({ length: 40 }, (_none, index) =>
        sendRequest(client, address, `/${index}`),
      );
      for (const { text, bytes } of await Promise.all(exchanges))
        expect({ text, bytes }).toEqual({ text: "end", bytes: largeBytes });
    });
  });
});

describe("large request body on a paced link", () => {
  test("it is sent at the rate of the link, and arrives complete with its content-length", async () => {
    const body = Buffer.alloc(200_000, "y");
    const server = createServer((incoming, outgoing) => {
      let bytes = 0;
      incoming.on("data", (chunk: Buffer) => {
        bytes += chunk.length;
      });
      incoming.on("end", () =>
        outgoing.end(`${incoming.headers["content-length"] ?? "none"} ${bytes}`),
      );
    });
    await withBackend(server, LINK_MBPS, async (client, address, pacers) => {
      const exchange = sendRequest(client, address, "/", body);
      await new Promise((done) => setTimeout(done, 50));
      expect(pacers.egress.queueMs).toBeLessThanOrEqual(30);
      expect((await exchange).text).toBe("200000 200000");
      expect((await exchange).durationMs).toBeGreaterThan((200_000 / USABLE_BYTES_PER_MS) * 0.7);
    });
  });
});

describe("large requests that wait for their turn on a paced link", () => {
  const largeBody = Buffer.alloc(1_500_000, "x");
  /** A backend that records the paths of the requests that reach it, and of those that it read to the end. */
  const createRecordingBackend = (reached: string[], complete: string[]): Server =>
    createServer((incoming, outgoing) => {
      reached.push(incoming.url ?? "");
      incoming.on("error", () => undefined).resume();
      incoming.once("end", () => {
        if (!incoming.complete) return;
        complete.push(incoming.url ?? "");
        outgoing.end("done");
      });
    });

  // Guards against requests that reach a backend after its time to drain: it leaves while they wait.
  test("a request that is no longer allowed at its first turn is not sent", async () => {
    const reached: string[] = [];
    const server = createRecordingBackend(reached, []);
    await withBackend(server, LINK_MBPS, async (client, address) => {
      const first = sendRequest(client, address, "/first", largeBody);
      let isAllowed = true;
      const attempt = {
        ...createAttempt(address, clock.nowMs() + TIMEOUT_MS + 1, {
          method: "POST",
          path: "/second",
          body: largeBody,
        }),
        mayStillSend: () => isAllowed,
      };
      const second = runToEnd(client.send(attempt));
      await new Promise((resolve) => setTimeout(resolve, 200));
      isAllowed = false;
      expect(await second).toEqual({ kind: "failed", cause: "withdrawn" });
      expect((await first).text).toBe("done");
      expect(reached).toEqual(["/first"]);
    });
  });

  // Guards against uploads that run although their client was told that they are late, or of which a part runs as the whole.
  test("a request whose body is unfinished at its deadline is cut off", async () => {
    const reached: string[] = [];
    const complete: string[] = [];
    const server = createRecordingBackend(reached, complete);
    await withBackend(server, LINK_MBPS, async (client, address) => {
      let isRemainderRead = false;
      const bodyRemainder = (async function* (): AsyncGenerator<Uint8Array> {
        isRemainderRead = true;
        yield Buffer.from("the rest");
        await Promise.resolve();
      })();
      const attempt = createAttempt(address, clock.nowMs() + 1600, { method: "POST", path: "/" });
      const request = { ...attempt.request, body: largeBody, bodyRemainder };
      const result = await runToEnd(client.send({ ...attempt, request }));
      expect(result).toEqual({ kind: "failed", cause: "late" });
      await new Promise((resolve) => setTimeout(resolve, 600));
      expect(reached).toEqual(["/"]);
      expect(complete).toEqual([]);
      expect(isRemainderRead).toBe(false);
    });
  });
});
