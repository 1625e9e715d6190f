import type { Socket } from "node:net";
import { afterEach, beforeEach, expect, test } from "vitest";
import { EdgeStage } from "./edge-stage.js";

/** What became of the requests that backends were given; none is ever answered. */
class Work {
  readonly begun: Socket[] = [];
  closed = 0;

  take(socket: Socket): void {
    this.begun.push(socket);
    socket.once("close", () => {
      this.closed += 1;
    });
  }
}

/** Shorter than any time-out of the routes. */
const soonMs = 400;
let edge: EdgeStage;
let work = new Work();

beforeEach(async () => {
  edge = await EdgeStage.ready(2);
  const own = new Work();
  work = own;
  edge.raw.act = (_request, socket) => own.take(socket);
});
afterEach(async () => {
  await edge.close();
});

test.each(["/safe/1", "/download/1"])(
  "once its client has left, a repeatable request to %s is broken off at its backend",
  async (path) => {
    const client = edge.client();
    client.request("GET", path, "try-1");
    await edge.raw.until(() => work.begun.length === 1);
    client.socket.destroy();
    await edge.raw.wait(soonMs);
    expect(work.closed).toBe(1);
    expect(work.begun).toHaveLength(1);
  },
);

test.each(["/unsafe/1", "/slow/1"])(
  "once its client has left, a request to %s that runs once goes on at its backend",
  async (path) => {
    const client = edge.client();
    client.request("POST", path, "try-1", { "content-length": "0", "op-key": "k-1" });
    await edge.raw.until(() => work.begun.length === 1);
    client.socket.destroy();
    await edge.raw.wait(soonMs);
    expect(work.closed).toBe(0);
  },
);

test("clients that leave are no mark against a backend: it gets the next request", async () => {
  for (let round = 0; round < 6; round += 1) {
    const client = edge.client();
    client.request("GET", `/safe/${round}`, `try-${round}`);
    await edge.raw.until(() => work.begun.length === round + 1);
    client.socket.destroy();
    await edge.raw.until(() => work.closed === round + 1);
  }
  const client = edge.client();
  client.request("GET", "/safe/last", "try-last");
  await edge.raw.until(() => work.begun.length === 7);
  expect(client.answers).toBe(0);
});
