import { createServer, type IncomingMessage, type ServerResponse } from "node:http";
import { expect, test } from "vitest";
import type {
  BackendAttempt,
  ResponseIdentity,
} from "../../../src/proxy/upstream/backend-client.js";
import { HttpBackendClient } from "../../../src/proxy/upstream/http-backend-client.js";
import { systemClock } from "../../../src/runtime/clock.js";
import { createAttempt, exchangeText, listen, stopServer } from "./http-fixtures.js";

const ID_HEADER = "try-id";
const DEADLINE_MS = 100;
const LATE_BY_MS = 60;

const identify = (id: string | undefined): ResponseIdentity => {
  if (id === undefined) return "none";
  return id === "first" ? "own" : "other";
};

/**
 * Sends a request whose response comes after its deadline with the given id, and then a second one; returns how many connections
 * the backend saw.
 */
const countConnections = async (
  lateId: string | undefined,
  isSecondAtMostOnce: boolean,
): Promise<number> => {
  let connections = 0;
  const respond = (incoming: IncomingMessage, outgoing: ServerResponse): void => {
    if (incoming.url === "/second") {
      outgoing.end("done");
      return;
    }
    const headers = lateId === undefined ? {} : { [ID_HEADER]: lateId };
    setTimeout(
      () => outgoing.writeHead(503, { ...headers, "not-run": "1" }).end(),
      DEADLINE_MS + LATE_BY_MS,
    );
  };
  const server = createServer(respond).on("connection", () => (connections += 1));
  const clock = systemClock();
  const client = new HttpBackendClient(clock, { proof: "request" });
  const address = await listen(server);
  const first: BackendAttempt = {
    ...createAttempt(address, clock.nowMs() + DEADLINE_MS, { path: "/first" }),
    identifyResponse: (headers) => identify(headers[ID_HEADER]),
  };
  expect(await exchangeText(client, first)).toBe("late");
  await new Promise((resolve) => setTimeout(resolve, 2 * LATE_BY_MS));
  const second: BackendAttempt = {
    ...createAttempt(address, clock.nowMs() + 5000, { path: "/second" }),
    isAtMostOnce: isSecondAtMostOnce,
  };
  expect(await exchangeText(client, second)).toBe("done end");
  client.close();
  await stopServer(server);
  return connections;
};

// Guards against writes that run at two backends: a refusal that comes once more, in the place of the next response.
test("a connection with a late response without an id carries no further request that must run at most once", async () => {
  expect(await countConnections(undefined, true)).toBe(2);
  expect(await countConnections(undefined, false)).toBe(1);
});

// Guards against writes that run at two backends: the late response is a copy of an earlier one, and the own one is outstanding.
test("a connection with another request's response after the deadline is closed", async () => {
  expect(await countConnections("zeroth", true)).toBe(2);
  expect(await countConnections("zeroth", false)).toBe(2);
});

test("a connection with the own late response is used again", async () => {
  expect(await countConnections("first", true)).toBe(1);
});
