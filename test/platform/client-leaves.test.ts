import type { Socket } from "node:net";
import { afterEach, beforeEach, describe, expect, test } from "vitest";
import { EdgeFixture } from "./edge-fixture.js";

/** The connections of the requests that reached a backend, which never replies. */
class Work {
  readonly sockets: Socket[] = [];
  closed = 0;

  take(socket: Socket): void {
    this.sockets.push(socket);
    socket.once("close", () => {
      this.closed += 1;
    });
  }
}

/** Shorter than any time-out of the routes. */
const soonMs = 400;
let edge: EdgeFixture;
let work = new Work();

beforeEach(async () => {
  edge = await EdgeFixture.create(2);
  const own = new Work();
  work = own;
  edge.raw.reply = (_request, socket) => own.take(socket);
});
afterEach(async () => {
  await edge.close();
});

describe("client that closes its connection", () => {
  test.each(["/safe/1", "/download/1"])(
    "a repeatable request to %s is cancelled at its backend",
    async (path) => {
      const client = edge.connectClient();
      client.request("GET", path, "try-1");
      await edge.raw.advanceUntil(() => work.sockets.length === 1);
      client.socket.destroy();
      await edge.raw.advance(soonMs);
      expect(work.closed).toBe(1);
      expect(work.sockets).toHaveLength(1);
    },
  );

  test.each(["/unsafe/1", "/slow/1"])(
    "a request to %s that runs at most once continues at its backend",
    async (path) => {
      const client = edge.connectClient();
      client.request("POST", path, "try-1", { "content-length": "0", "op-key": "k-1" });
      await edge.raw.advanceUntil(() => work.sockets.length === 1);
      client.socket.destroy();
      await edge.raw.advance(soonMs);
      expect(work.closed).toBe(0);
    },
  );

  test("closing clients don't count as failures of the backend: it gets the next request", async () => {
    for (let round = 0; round < 6; round += 1) {
      const client = edge.connectClient();
      client.request("GET", `/safe/${round}`, `try-${round}`);
      await edge.raw.advanceUntil(() => work.sockets.length === round + 1);
      client.socket.destroy();
      await edge.raw.advanceUntil(() => work.closed === round + 1);
    }
    const client = edge.connectClient();
    client.request("GET", "/safe/last", "try-last");
    await edge.raw.advanceUntil(() => work.sockets.length === 7);
    expect(client.responseCount).toBe(0);
  });
});
