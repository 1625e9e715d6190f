import type { Socket } from "node:net";
import { afterEach, beforeEach, expect, test } from "vitest";
import { EdgeStage } from "./edge-stage.js";
import { RawBackEnd, type RawRequest } from "./raw-backend.js";

const { success } = RawBackEnd;
let edge: EdgeStage;
beforeEach(async () => {
  edge = await EdgeStage.ready(2);
});
afterEach(async () => {
  await edge.close();
});

/** Has back ends hold requests on a path until they are let go. */
const holding = (
  path: string,
): { held: () => number; go: () => void; arrived: readonly string[] } => {
  const held: Array<{ request: RawRequest; socket: Socket }> = [];
  /** The paths of all requests in the order of their arrival, at whichever backend. */
  const arrived: string[] = [];
  edge.raw.act = (request, socket) => {
    arrived.push(request.path);
    if (request.path === path) held.push({ request, socket });
    else socket.write(success(request, `answer to ${request.path}`));
  };
  return {
    arrived,
    held: () => held.length,
    go: () => {
      for (const { request, socket } of held)
        socket.write(success(request, `answer to ${request.path}`));
    },
  };
};

const paths = (): string[] => edge.raw.heads.map(({ path }) => path);

test("requests that a client sends before the first is answered are answered in their order", async () => {
  const { held, go } = holding("/safe/1");
  const client = edge.client();
  for (const place of [1, 2, 3]) client.request("GET", `/safe/${place}`, `try-${place}`);
  await edge.raw.until(() => held() === 1 && paths().length === 3);
  await edge.raw.wait(30);
  expect(client.heard).toBe("");
  go();
  await edge.raw.until(() => client.heard.includes("/safe/3"));
  const command = [1, 2, 3].map((place) => client.heard.indexOf(`answer to /safe/${place}`));
  expect(command).toEqual([...command].sort((a, b) => a - b));
  expect(command[0]).toBeGreaterThan(0);
});

test("an unsafe request behind an answer that closes the connection does not run", async () => {
  const { held, go } = holding("/safe/1");
  const client = edge.client();
  client.request("GET", "/safe/1", "try-1");
  client.request("POST", "/unsafe/2", "try-2", { "content-length": "0" });
  await edge.raw.until(() => held() === 1);
  edge.server.partWithCallers();
  await edge.raw.wait(30);
  go();
  await edge.raw.until(() => client.isClosed);
  await edge.raw.wait(50);
  expect(client.heard).toMatch(/connection: close/i);
  expect([client.answers, paths()]).toEqual([1, ["/safe/1"]]);
});

test("an unsafe request behind one whose answer is cut does not run", async () => {
  const { held } = holding("/unsafe/1");
  const client = edge.client();
  client.request("POST", "/unsafe/1", "try-1", { "content-length": "0" });
  client.request("POST", "/unsafe/2", "try-2", { "content-length": "0" });
  await edge.raw.until(() => held() === 1);
  client.socket.destroy();
  await edge.raw.wait(1500);
  expect(paths()).toEqual(["/unsafe/1"]);
});

test("unsafe requests that a client sends before the first is answered run one after another", async () => {
  const { held, go, arrived } = holding("/unsafe/1");
  const client = edge.client();
  for (const place of [1, 2])
    client.request("POST", `/unsafe/${place}`, `try-${place}`, { "content-length": "0" });
  await edge.raw.until(() => held() === 1);
  await edge.raw.wait(30);
  expect(paths()).toEqual(["/unsafe/1"]);
  go();
  await edge.raw.until(() => client.answers === 2);
  expect(arrived).toEqual(["/unsafe/1", "/unsafe/2"]);
  expect(paths().sort()).toEqual(["/unsafe/1", "/unsafe/2"]);
  expect(client.heard.indexOf("/unsafe/2")).toBeGreaterThan(client.heard.indexOf("/unsafe/1"));
});
