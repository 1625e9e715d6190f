import { connect } from "node:net";
import { afterAll, expect, test } from "vitest";
import { HttpServer } from "../../src/daemon/http-server.js";
import { runTask } from "../../src/runtime/task.js";
import { freePort } from "./free-port.js";

const handledRequests: string[] = [];
const server = new HttpServer(
  (clientRequest, client) => {
    handledRequests.push(
      `${clientRequest.method} ${clientRequest.target} ${clientRequest.body.length}${clientRequest.bodyRemainder ? " and more" : ""}`,
    );
    client.respond({ code: 200, headers: {}, body: Buffer.from(clientRequest.target) });
  },
  { bufferWholeBodies: false },
);

const listening = freePort().then(async (port) => {
  await new Promise<void>((done, fail) => runTask(server.listen(`127.0.0.1:${port}`), fail, done));
  return port;
});

/** Sends bytes on a new connection and returns all bytes received until it closes. */
const exchangeBytes = async (requestBytes: string): Promise<string> => {
  const port = await listening;
  return new Promise((done) => {
    const chunks: string[] = [];
    const socket = connect(port, "127.0.0.1", () => socket.write(requestBytes));
    socket.on("data", (bytes: Buffer) => chunks.push(bytes.toString()));
    socket.on("error", () => undefined);
    socket.once("close", () => done(chunks.join("")));
  });
};
const statusCodes = (text: string): string[] =>
  [...text.matchAll(/HTTP\/1\.1 (\d+)/g)].map(([, code]) => code ?? "");

afterAll(() => {
  server.close();
  server.closeConnections();
});

test("requests over the limits are refused, also after the limits change at run time", async () => {
  server.setLimits({ headerBytes: 2000, bodyBytes: 100 });
  const long = `GET /long HTTP/1.1\r\nhost: a\r\nx-long: ${"x".repeat(3000)}\r\nconnection: close\r\n\r\n`;
  const body = (bytes: number): string =>
    `POST /body HTTP/1.1\r\nhost: a\r\ncontent-length: ${bytes}\r\nconnection: close\r\n\r\n${"x".repeat(bytes)}`;
  expect(statusCodes(await exchangeBytes(long))).toEqual(["431"]);
  expect(statusCodes(await exchangeBytes(body(101)))).toEqual(["413"]);
  expect(
    statusCodes(
      await exchangeBytes(
        "POST /body HTTP/1.1\r\nhost: a\r\ntransfer-encoding: chunked\r\n\r\n80\r\n" +
          "x".repeat(128) +
          "\r\n0\r\n\r\n",
      ),
    ),
  ).toEqual(["413"]);
  server.setLimits({ headerBytes: 16_000, bodyBytes: 1000 });
  expect(statusCodes(await exchangeBytes(long))).toEqual(["200"]);
  expect(statusCodes(await exchangeBytes(body(101)))).toEqual(["200"]);
  expect(handledRequests).toEqual(["GET /long 0", "POST /body 101"]);
});

test("pipelined requests get their responses in order; a request with two lengths, malformed chunks or no host is refused", async () => {
  const getRequest = (path: string, more = ""): string =>
    `GET ${path} HTTP/1.1\r\nhost: a\r\n${more}\r\n`;
  const text = await exchangeBytes(
    getRequest("/1") + getRequest("/2") + getRequest("/3", "connection: close\r\n"),
  );
  expect([...text.matchAll(/\r\n\r\n(\/\d)/g)].map(([, path]) => path)).toEqual(["/1", "/2", "/3"]);
  const handledBefore = handledRequests.length;
  expect(
    statusCodes(
      await exchangeBytes(
        "POST /two HTTP/1.1\r\nhost: a\r\ncontent-length: 3\r\ntransfer-encoding: chunked\r\n\r\n0\r\n\r\nGET /smuggled HTTP/1.1\r\nhost: a\r\n\r\n",
      ),
    ),
  ).toEqual(["400"]);
  expect(
    statusCodes(
      await exchangeBytes(
        "POST /bad HTTP/1.1\r\nhost: a\r\ntransfer-encoding: chunked\r\n\r\nzz\r\nx\r\n0\r\n\r\n",
      ),
    ),
  ).toEqual(["400"]);
  expect(statusCodes(await exchangeBytes("GET /none HTTP/1.1\r\n\r\n"))).toEqual(["400"]);
  expect(handledRequests.slice(handledBefore)).toEqual([]);
});
