import type { Socket } from "node:net";
import { afterEach, beforeEach, describe, expect, test } from "vitest";
import { EdgeFixture } from "./edge-fixture.js";
import { RawBackend, type RawRequest } from "./raw-backend.js";

const { success } = RawBackend;
let edge: EdgeFixture;
beforeEach(async () => {
  edge = await EdgeFixture.create(2);
});
afterEach(async () => {
  await edge.close();
});

/** Makes the backends delay their responses to requests on a path until they are released. */
const blockRequests = (
  path: string,
): { blockedCount: () => number; release: () => void; arrived: readonly string[] } => {
  const blocked: Array<{ request: RawRequest; socket: Socket }> = [];
  /** The paths of all requests in the order of their arrival, at whichever backend. */
  const arrived: string[] = [];
  edge.raw.reply = (request, socket) => {
    arrived.push(request.path);
    if (request.path === path) blocked.push({ request, socket });
    else socket.write(success(request, `answer to ${request.path}`));
  };
  return {
    arrived,
    blockedCount: () => blocked.length,
    release: () => {
      for (const { request, socket } of blocked)
        socket.write(success(request, `answer to ${request.path}`));
    },
  };
};

const paths = (): string[] => edge.raw.requestHeads.map(({ path }) => path);

describe("pipelined requests", () => {
  test("they are answered in their order", async () => {
    const { blockedCount, release } = blockRequests("/safe/1");
    const client = edge.connectClient();
    for (const index of [1, 2, 3]) client.request("GET", `/safe/${index}`, `try-${index}`);
    await edge.raw.advanceUntil(() => blockedCount() === 1 && paths().length === 3);
    await edge.raw.advance(30);
    expect(client.received).toBe("");
    release();
    await edge.raw.advanceUntil(() => client.received.includes("/safe/3"));
    const positions = [1, 2, 3].map((index) => client.received.indexOf(`answer to /safe/${index}`));
    expect(positions).toEqual([...positions].sort((a, b) => a - b));
    expect(positions[0]).toBeGreaterThan(0);
  });

  test("an unsafe request after a response that closes the connection does not run", async () => {
    const { blockedCount, release } = blockRequests("/safe/1");
    const client = edge.connectClient();
    client.request("GET", "/safe/1", "try-1");
    client.request("POST", "/unsafe/2", "try-2", { "content-length": "0" });
    await edge.raw.advanceUntil(() => blockedCount() === 1);
    edge.server.closeClientConnections();
    await edge.raw.advance(30);
    release();
    await edge.raw.advanceUntil(() => client.isClosed);
    await edge.raw.advance(50);
    expect(client.received).toMatch(/connection: close/i);
    expect([client.responseCount, paths()]).toEqual([1, ["/safe/1"]]);
  });

  test("an unsafe request after one whose response is cut does not run", async () => {
    const { blockedCount } = blockRequests("/unsafe/1");
    const client = edge.connectClient();
    client.request("POST", "/unsafe/1", "try-1", { "content-length": "0" });
    client.request("POST", "/unsafe/2", "try-2", { "content-length": "0" });
    await edge.raw.advanceUntil(() => blockedCount() === 1);
    client.socket.destroy();
    await edge.raw.advance(1500);
    expect(paths()).toEqual(["/unsafe/1"]);
  });

  test("unsafe requests run one after another", async () => {
    const { blockedCount, release, arrived } = blockRequests("/unsafe/1");
    const client = edge.connectClient();
    for (const index of [1, 2])
      client.request("POST", `/unsafe/${index}`, `try-${index}`, { "content-length": "0" });
    await edge.raw.advanceUntil(() => blockedCount() === 1);
    await edge.raw.advance(30);
    expect(paths()).toEqual(["/unsafe/1"]);
    release();
    await edge.raw.advanceUntil(() => client.responseCount === 2);
    expect(arrived).toEqual(["/unsafe/1", "/unsafe/2"]);
    expect(paths().sort()).toEqual(["/unsafe/1", "/unsafe/2"]);
    expect(client.received.indexOf("/unsafe/2")).toBeGreaterThan(
      client.received.indexOf("/unsafe/1"),
    );
  });
});
