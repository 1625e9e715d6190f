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

/** 8 Mbit/s: 1,000 bytes a millisecond, of which 900 are planned with. */
const LINK_MBPS = 8;
const USABLE_BYTES_PER_MS = 900;
const TIMEOUT_MS = 20_000;

const clock = systemClock();

interface Exchange {
  /** A short body's text; how a longer one ended, or why there was none. */
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
      if (result.kind === "failed") return { text: result.cause, bytes: 0, tookMs: 0 };
      const response = yield* readResponse(result);
      return {
        text: response.body.length < 100 ? response.body.toString() : response.ending,
        bytes: response.body.length,
        tookMs: clock.nowMs() - startedMs,
      };
    })(),
  );

/** Gives a test a backend and a client that is paced at the rate of a link, and closes both. */
const withBackend = async (
  server: Server,
  linkMbps: number,
  use: (client: BackendClient, address: string, pacers: LinkPacers) => Promise<void>,
): Promise<void> => {
  const address = await listen(server);
  const pacers = createLinkPacers(clock, linkMbps);
  const client = new HttpBackendClient(clock, { proof: "request", pacers });
  try {
    await use(client, address, pacers);
  } finally {
    client.close();
    server.close();
    server.closeAllConnections();
  }
};

describe("large responses on a paced link", () => {
  test("they are read at the rate of the link, together, and don't delay a short one", async () => {
    const largeBytes = 800_000;
    const server = createBodyServer((path) =>
      path === "/short" ? "short" : Buffer.alloc(largeBytes, "x"),
    );
    await withBackend(server, LINK_MBPS, async (client, address) => {
      const ended: string[] = [];
      const sendAndNote = async (path: string): Promise<Exchange> => {
        const exchange = await sendRequest(client, address, path);
        ended.push(path);
        return exchange;
      };
      const large = [sendAndNote("/one"), sendAndNote("/two")];
      await runToEnd(sleep(clock, 100));
      expect((await sendAndNote("/short")).text).toBe("short");
      expect(ended).toEqual(["/short"]);
      const linkMs = (2 * largeBytes) / USABLE_BYTES_PER_MS;
      const exchanges = await Promise.all(large);
      for (const exchange of exchanges)
        expect(exchange).toMatchObject({ text: "end", bytes: largeBytes });
      // Both are due at nearly the same time; which one goes first is left open.
      const [firstMs, secondMs] = exchanges
        .map(({ durationMs: tookMs }) => tookMs)
        .sort((one, other) => one - other);
      expect(firstMs).toBeGreaterThan(linkMs * 0.4);
      expect(secondMs).toBeGreaterThan(linkMs * 0.75);
    });
  });

  test("many at once are all read to their end, whichever connection's bytes resume another", async () => {
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
  test("it is sent at the rate of the link and arrives complete, with its length stated", async () => {
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
