import type { Socket } from "node:net";
import { afterEach, beforeEach, describe, expect, test } from "vitest";
import { EdgeFixture } from "./edge-fixture.js";

/** The connections of requests to backends that never reply. */
class PendingRequests {
  readonly sockets: Socket[] = [];
  closedCount = 0;

  add(socket: Socket): void {
    this.sockets.push(socket);
    socket.once("close", () => {
      this.closedCount += 1;
    });
  }
}

/** Time to wait for effects of a disconnect; shorter than any timeout of the routes. */
const settleMs = 400;
let edge: EdgeFixture;
let pending = new PendingRequests();

beforeEach(async () => {
  edge = await EdgeFixture.create(2);
  const current = new PendingRequests();
  pending = current;
  edge.raw.reply = (_request, socket) => current.add(socket);
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
      await edge.raw.advanceUntil(() => pending.sockets.length === 1);
      client.socket.destroy();
      await edge.raw.advance(settleMs);
      expect(pending.closedCount).toBe(1);
      expect(pending.sockets).toHaveLength(1);
    },
  );

  test.each(["/unsafe/1", "/slow/1"])(
    "a request to %s that runs at most once continues at its backend",
    async (path) => {
      const client = edge.connectClient();
      client.request("POST", path, "try-1", { "content-length": "0", "op-key": "k-1" });
      await edge.raw.advanceUntil(() => pending.sockets.length === 1);
      client.socket.destroy();
      await edge.raw.advance(settleMs);
      expect(pending.closedCount).toBe(0);
    },
  );

  test("disconnects of clients don't count as failures of the backend, which gets the next request", async () => {
    for (let round = 0; round < 6; round += 1) {
      const client = edge.connectClient();
      client.request("GET", `/safe/${round}`, `try-${round}`);
      await edge.raw.advanceUntil(() => pending.sockets.length === round + 1);
      client.socket.destroy();
      await edge.raw.advanceUntil(() => pending.closedCount === round + 1);
    }
    const client = edge.connectClient();
    client.request("GET", "/safe/last", "try-last");
    await edge.raw.advanceUntil(() => pending.sockets.length === 7);
    expect(client.responseCount).toBe(0);
  });
});
