import { createServer, type Server } from "node:http";
import { expect, test } from "vitest";
import { BackendClient } from "../../../src/proxy/upstream/backend-client.js";
import { Clock } from "../../../src/runtime/clock.js";
import { LinkPacers } from "../../../src/runtime/link-pacer.js";
import { Task } from "../../../src/runtime/task.js";

/** 8 Mbit/s: 1,000 bytes a millisecond, of which 900 are counted on. */
const linkMbps = 8;
const usableBytesPerMs = 900;

const clock = Clock.real();

const serving = async (server: Server): Promise<number> => {
  await new Promise<void>((done) => server.listen(0, "127.0.0.1", done));
  const bound = server.address();
  return bound !== null && typeof bound === "object" ? bound.port : 0;
};

interface Outcome {
  readonly text: string;
  readonly bytes: number;
  readonly tookMs: number;
}

const sent = (backendClient: BackendClient, port: number, path: string, body = new Uint8Array()) =>
  new Promise<Outcome>((done, fail) =>
    Task.start(
      (function* () {
        const startedMs = clock.nowMs();
        const opened = yield* backendClient.send({
          address: `127.0.0.1:${port}`,
          service: "issues",
          pool: "one",
          request: { method: body.length > 0 ? "POST" : "GET", path, headers: {}, body },
          untilMs: startedMs + 20_000,
          maySend: () => true,
        });
        if (typeof opened === "string") return { text: opened, bytes: 0, tookMs: 0 };
        const pieces: Uint8Array[] = [];
        let piece = yield* opened.next();
        for (; typeof piece !== "string"; piece = yield* opened.next()) pieces.push(piece);
        const whole = Buffer.concat(pieces);
        return {
          text: whole.length < 100 ? whole.toString() : piece,
          bytes: whole.length,
          tookMs: clock.nowMs() - startedMs,
        };
      })(),
      fail,
      done,
    ),
  );

test("large responses are read at the rate of the link, together, and a short one is not held up by them", async () => {
  const largeBytes = 800_000;
  const server = createServer((incoming, outgoing) =>
    outgoing.end(incoming.url === "/short" ? "short" : Buffer.alloc(largeBytes, "x")),
  );
  const port = await serving(server);
  const pacers = LinkPacers.of(clock, linkMbps);
  const backendClient = BackendClient.http(clock, { proof: "request", pacers });
  const ended: string[] = [];
  const noted = async (path: string): Promise<Outcome> => {
    const outcome = await sent(backendClient, port, path);
    ended.push(path);
    return outcome;
  };
  const large = [noted("/one"), noted("/two")];
  await new Promise((done) => setTimeout(done, 100));
  expect((await noted("/short")).text).toBe("short");
  expect(ended).toEqual(["/short"]);
  const linkMs = (2 * largeBytes) / usableBytesPerMs;
  const [first, second] = await Promise.all(large);
  for (const one of [first, second]) expect(one).toMatchObject({ text: "end", bytes: largeBytes });
  // Both are due at nearly the same time; which one goes first is left open.
  const tookMs = [first?.tookMs ?? 0, second?.tookMs ?? 0].sort((one, other) => one - other);
  expect(tookMs[0]).toBeGreaterThan(linkMs * 0.4);
  expect(tookMs[1]).toBeGreaterThan(linkMs * 0.75);
  backendClient.close();
  server.close();
  server.closeAllConnections();
});

test("a large request body leaves at the rate of the link and comes whole, with its length stated", async () => {
  const body = Buffer.alloc(200_000, "y");
  const server = createServer((incoming, outgoing) => {
    let bytes = 0;
    incoming.on("data", (piece: Buffer) => {
      bytes += piece.length;
    });
    incoming.on("end", () =>
      outgoing.end(`${incoming.headers["content-length"] ?? "none"} ${bytes}`),
    );
  });
  const port = await serving(server);
  const pacers = LinkPacers.of(clock, linkMbps);
  const backendClient = BackendClient.http(clock, { proof: "request", pacers });
  const outcome = sent(backendClient, port, "/", body);
  await new Promise((done) => setTimeout(done, 50));
  expect(pacers.egress.queueMs).toBeLessThanOrEqual(30);
  expect((await outcome).text).toBe("200000 200000");
  expect((await outcome).tookMs).toBeGreaterThan((200_000 / usableBytesPerMs) * 0.7);
  backendClient.close();
  server.close();
  server.closeAllConnections();
});

test("many large responses at once are all read whole, whichever connection's bytes let another go on", async () => {
  const largeBytes = 300_000;
  const server = createServer((_incoming, outgoing) => outgoing.end(Buffer.alloc(largeBytes, "x")));
  const port = await serving(server);
  const backendClient = BackendClient.http(clock, {
    proof: "request",
    pacers: LinkPacers.of(clock, 100),
  });
  const all = Array.from({ length: 40 }, (_none, place) => sent(backendClient, port, `/${place}`));
  for (const { text, bytes } of await Promise.all(all))
    expect({ text, bytes }).toEqual({ text: "end", bytes: largeBytes });
  backendClient.close();
  server.close();
  server.closeAllConnections();
});
