import { connect } from "node:net";
import { createServer } from "node:http";
import { afterAll, expect, test } from "vitest";
import { HttpServer } from "../../src/daemon/http-server.js";
import { runTask } from "../../src/runtime/task.js";

const taken: string[] = [];
const server = new HttpServer(
  (clientRequest, client) => {
    taken.push(
      `${clientRequest.method} ${clientRequest.target} ${clientRequest.body.length}${clientRequest.bodyRemainder ? " and more" : ""}`,
    );
    client.respond({ code: 200, headers: {}, body: Buffer.from(clientRequest.target) });
  },
  { bufferWholeBodies: false },
);

const freePort = (): Promise<number> =>
  new Promise((done, fail) => {
    const probe = createServer().listen(0, "127.0.0.1", () => {
      const bound = probe.address();
      probe.close(() => done(bound !== null && typeof bound === "object" ? bound.port : 0));
    });
    probe.once("error", fail);
  });

const listening = freePort().then(async (port) => {
  await new Promise<void>((done, fail) => runTask(server.listen(`127.0.0.1:${port}`), fail, done));
  return port;
});

/** All that comes back over one connection until it ends. */
const said = async (sent: string): Promise<string> => {
  const port = await listening;
  return new Promise((done) => {
    const heard: string[] = [];
    const socket = connect(port, "127.0.0.1", () => socket.write(sent));
    socket.on("data", (bytes: Buffer) => heard.push(bytes.toString()));
    socket.on("error", () => undefined);
    socket.once("close", () => done(heard.join("")));
  });
};
const codes = (text: string): string[] =>
  [...text.matchAll(/HTTP\/1\.1 (\d+)/g)].map(([, code]) => code ?? "");

afterAll(() => {
  server.close();
  server.closeConnections();
});

test("callers are held to limits, also when they change while the server runs", async () => {
  server.setLimits({ headerBytes: 2000, bodyBytes: 100 });
  const long = `GET /long HTTP/1.1\r\nhost: a\r\nx-long: ${"x".repeat(3000)}\r\nconnection: close\r\n\r\n`;
  const body = (bytes: number): string =>
    `POST /body HTTP/1.1\r\nhost: a\r\ncontent-length: ${bytes}\r\nconnection: close\r\n\r\n${"x".repeat(bytes)}`;
  expect(codes(await said(long))).toEqual(["431"]);
  expect(codes(await said(body(101)))).toEqual(["413"]);
  expect(
    codes(
      await said(
        "POST /body HTTP/1.1\r\nhost: a\r\ntransfer-encoding: chunked\r\n\r\n80\r\n" +
          "x".repeat(128) +
          "\r\n0\r\n\r\n",
      ),
    ),
  ).toEqual(["413"]);
  server.setLimits({ headerBytes: 16_000, bodyBytes: 1000 });
  expect(codes(await said(long))).toEqual(["200"]);
  expect(codes(await said(body(101)))).toEqual(["200"]);
  expect(taken).toEqual(["GET /long 0", "POST /body 101"]);
});

test("pipelined requests are answered in order; two lengths, bad chunks and requests without a host are refused", async () => {
  const one = (path: string, more = ""): string => `GET ${path} HTTP/1.1\r\nhost: a\r\n${more}\r\n`;
  const text = await said(one("/1") + one("/2") + one("/3", "connection: close\r\n"));
  expect([...text.matchAll(/\r\n\r\n(\/\d)/g)].map(([, path]) => path)).toEqual(["/1", "/2", "/3"]);
  const before = taken.length;
  expect(
    codes(
      await said(
        "POST /two HTTP/1.1\r\nhost: a\r\ncontent-length: 3\r\ntransfer-encoding: chunked\r\n\r\n0\r\n\r\nGET /smuggled HTTP/1.1\r\nhost: a\r\n\r\n",
      ),
    ),
  ).toEqual(["400"]);
  expect(
    codes(
      await said(
        "POST /bad HTTP/1.1\r\nhost: a\r\ntransfer-encoding: chunked\r\n\r\nzz\r\nx\r\n0\r\n\r\n",
      ),
    ),
  ).toEqual(["400"]);
  expect(codes(await said("GET /none HTTP/1.1\r\n\r\n"))).toEqual(["400"]);
  expect(taken.slice(before)).toEqual([]);
});
