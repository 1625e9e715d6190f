import type { Socket } from "node:net";
import fc from "fast-check";
import { afterEach, beforeEach, describe, expect, test } from "vitest";
import type { RecordingClient } from "./proxy-fixture.js";
import { RawBackend, type RawRequest } from "./raw-backend.js";
import { RawBackendFixture } from "./raw-backend-fixture.js";

const { response, success } = RawBackend;
let fixture: RawBackendFixture;
beforeEach(async () => {
  fixture = await RawBackendFixture.create(2);
  await fixture.warmConnections();
});
afterEach(async () => {
  await fixture.close();
});

let asked = 0;
/** A path that no other request has, so that its arrivals can be counted. */
const newPath = (kind: string): string => {
  asked += 1;
  return `/${kind}/${asked}`;
};
const arrivals = (path: string): number =>
  fixture.requestHeads.filter((request) => request.path === path).length;

/** What a backend writes, and what the client of a request that runs once must get; undefined: no promise, a 502 or 504. */
interface Script {
  readonly way: string;
  readonly bytes: (tryId: string) => string;
  readonly code: number | undefined;
  readonly body?: string;
}

const theirs = { tryId: "another" };
const chunks = (text: string): string =>
  text.replace(/.{1,7}/gsu, (part) => `${part.length.toString(16)}\r\n${part}\r\n`) + "0\r\n\r\n";
const chunked = (tryId: string, text: string): string =>
  `HTTP/1.1 200 OK\r\ntry-id: ${tryId}\r\nseal: s\r\ntransfer-encoding: chunked\r\n\r\n${chunks(text)}`;
const text = "the server's own bytes\r\n\r\nHTTP/1.1 200 OK\r\n";
const own = (tryId: string): string => success({ tryId }, text, { seal: "s" });
const scripts: Script[] = [
  { way: "whole", bytes: (tryId) => own(tryId), code: 200, body: text },
  { way: "chunked", bytes: (tryId) => chunked(tryId, text), code: 200, body: text },
  { way: "twice", bytes: (tryId) => own(tryId).repeat(2), code: 200, body: text },
  { way: "surplus", bytes: (tryId) => `${chunked(tryId, text)}more`, code: 200, body: text },
  {
    way: "interim first",
    bytes: (tryId) => `HTTP/1.1 103 Hints\r\nlink: a\r\n\r\n${own(tryId)}`,
    code: 200,
    body: text,
  },
  {
    way: "failure",
    bytes: (tryId) => response(500, { "try-id": tryId }, text),
    code: 500,
    body: text,
  },
  {
    way: "not run",
    bytes: (tryId) => response(503, { "try-id": tryId, "not-run": "1" }, "full"),
    code: 503,
  },
  { way: "theirs", bytes: () => success(theirs, "theirs"), code: undefined },
  {
    way: "theirs first",
    bytes: (tryId) => success(theirs, "theirs") + own(tryId),
    code: undefined,
  },
  {
    way: "their 421 first",
    bytes: (tryId) => response(421, { "try-id": "another" }) + own(tryId),
    code: undefined,
  },
  {
    way: "their Not-Run first",
    bytes: (tryId) => response(503, { "try-id": "another", "not-run": "1" }) + own(tryId),
    code: undefined,
  },
];

/** Writes bytes in pieces that end at the given offsets, a little apart, and then ends the connection where that is asked. */
const writePieces = (
  socket: Socket,
  bytes: string,
  offsets: readonly number[],
  ending: "open" | "end" | "reset",
): void => {
  const ends = [...new Set(offsets.map((index) => index % bytes.length))].sort((a, b) => a - b);
  const pieces = [...ends, bytes.length].map((end, at) => bytes.slice(ends[at - 1] ?? 0, end));
  const next = (): void => {
    const piece = pieces.shift();
    if (socket.destroyed) return;
    if (piece === undefined) {
      if (ending === "end") socket.end();
      if (ending === "reset") socket.resetAndDestroy();
      return;
    }
    socket.write(piece, "latin1", () => setImmediate(next));
  };
  next();
};

const checkOnce = (path: string, client: RecordingClient, turnedAway: boolean): void => {
  expect(client.ending).toBe("whole");
  expect(client.body.toString()).not.toContain("theirs");
  if (turnedAway) return;
  const [least, most] = client.code === 503 ? [0, 0] : [client.code < 500 ? 1 : 0, 1];
  expect(arrivals(path)).toBeGreaterThanOrEqual(least);
  expect(arrivals(path)).toBeLessThanOrEqual(most);
};

describe("response bytes at random", () => {
  test("however a response is split into packets, its outcome is the same", async () => {
    await fc.assert(
      fc.asyncProperty(
        fc.constantFrom(...scripts),
        fc.array(fc.nat(400), { maxLength: 6 }),
        fc.constantFrom("unsafe", "safe"),
        async ({ way, bytes, code, body }, offsets, kind) => {
          const path = newPath(kind);
          fixture.reply = ({ tryId, path: asked }, socket) => {
            if (asked === path) writePieces(socket, bytes(tryId), offsets, "open");
            else socket.write(success({ tryId }, "fine"));
          };
          const client = await fixture.exchange("POST", path, { "deadline-ms": "400" });
          expect([way, client.code]).toEqual([way, code ?? 502]);
          if (body !== undefined) expect(client.body.toString()).toBe(body);
          if (kind === "unsafe") checkOnce(path, client, code === 503);
        },
      ),
      { seed: 17, numRuns: 250 },
    );
  }, 60_000);

  test("a response that breaks off anywhere is never forwarded as complete, and no request that runs at most once is sent twice", async () => {
    await fc.assert(
      fc.asyncProperty(
        fc.constantFrom(...scripts.filter(({ code }) => code === 200)),
        fc.nat(1000),
        fc.array(fc.nat(400), { maxLength: 3 }),
        fc.constantFrom("end" as const, "reset" as const),
        async ({ way, bytes, body }, at, offsets, ending) => {
          const path = newPath("unsafe");
          let isWhole = false;
          fixture.reply = ({ tryId }, socket) => {
            const whole = bytes(tryId);
            const written = whole.slice(0, at % whole.length);
            const own = way === "twice" ? whole.length / 2 : whole.length;
            isWhole = written.length >= own - (way === "surplus" ? 4 : 0);
            if (written.length > 0) writePieces(socket, written, offsets, ending);
            else socket.destroy();
          };
          const client = await fixture.exchange("POST", path, { "deadline-ms": "400" });
          checkOnce(path, client, false);
          if (client.code === 200) expect([isWhole, client.body.toString()]).toEqual([true, body]);
          else expect([isWhole && ending === "end", client.code]).toEqual([false, 502]);
        },
      ),
      { seed: 18, numRuns: 200 },
    );
  }, 60_000);

  test("garbled bytes affect neither the daemon nor another request, and no request that runs at most once is sent twice", async () => {
    await fc.assert(
      fc.asyncProperty(
        fc.constantFrom(...scripts.filter(({ way }) => !/421|run$|Run/u.test(way))),
        fc.array(fc.tuple(fc.nat(300), fc.nat(255)), { minLength: 1, maxLength: 4 }),
        fc.array(fc.nat(400), { maxLength: 2 }),
        async ({ way, bytes }, flips, offsets) => {
          const path = newPath("unsafe");
          fixture.reply = ({ tryId, path: asked }, socket) => {
            if (asked !== path) return socket.write(success({ tryId }, asked));
            const garbled = Buffer.from(bytes(tryId), "latin1");
            for (const [index, byte] of flips) garbled[index % garbled.length] = byte;
            return writePieces(socket, garbled.toString("latin1"), offsets, "open");
          };
          const client = await fixture.exchange("POST", path, { "deadline-ms": "60" });
          if (way.startsWith("their")) expect(client.code).toBeGreaterThanOrEqual(500);
          checkOnce(path, client, false);
          for (let round = 0, code = 0; code !== 200; round += 1) {
            const next = newPath("unsafe");
            const after = await fixture.exchange("POST", next);
            ({ code } = after);
            if (code === 200) expect(after.body.toString()).toBe(next);
            else checkOnce(next, after, false);
            expect(round).toBeLessThan(20);
            if (code !== 200) await fixture.advance(100);
          }
        },
      ),
      { seed: 19, numRuns: 200 },
    );
  }, 60_000);
});

describe("idle connections", () => {
  test("closed around the next send: a request that runs at most once arrives once, and never after a promise that it did not run", async () => {
    await fc.assert(
      fc.asyncProperty(
        fc.array(
          fc.record({
            delayUs: fc.nat(3000),
            how: fc.constantFrom("end" as const, "destroy" as const, "reset" as const),
            pauseMs: fc.nat(3),
          }),
          { minLength: 3, maxLength: 8 },
        ),
        async (rounds) => {
          for (const { delayUs, how, pauseMs } of rounds) {
            const path = newPath("unsafe");
            fixture.reply = (request: RawRequest, socket) => {
              socket.write(success(request, "fine"));
              const startedUs = performance.now() * 1000;
              const part = (): void => {
                if (performance.now() * 1000 - startedUs < delayUs) setImmediate(part);
                else if (how === "end") socket.end();
                else if (how === "destroy") socket.destroy();
                else socket.resetAndDestroy();
              };
              part();
            };
            const client = await fixture.exchange("POST", path, { "deadline-ms": "400" });
            checkOnce(path, client, false);
            expect([200, 502, 503]).toContain(client.code);
            await fixture.advance(pauseMs);
          }
        },
      ),
      { seed: 20, numRuns: 40 },
    );
  }, 60_000);
});
