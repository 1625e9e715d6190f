import { connect } from "node:net";
import { expect, test } from "vitest";
import { HttpServer } from "../../src/daemon/http-server.js";
import { runTask } from "../../src/runtime/task.js";
import { freePort } from "./free-port.js";

test("a request sent on an open connection just before the server starts closing client connections gets its response", async () => {
  const server = new HttpServer((clientRequest, client) =>
    client.respond({ code: 200, headers: {}, body: Buffer.from(clientRequest.target) }),
  );
  const port = await freePort();
  await new Promise<void>((done, fail) => runTask(server.listen(`127.0.0.1:${port}`), fail, done));
  const received: string[] = [];
  const socket = connect(port, "127.0.0.1");
  socket.on("data", (bytes: Buffer) => received.push(bytes.toString()));
  const ended = new Promise<void>((done) => socket.once("close", () => done()));
  socket.write("GET /one HTTP/1.1\r\nhost: a\r\n\r\n");
  await expect.poll(() => received.join("").includes("/one")).toBe(true);
  socket.write("GET /two HTTP/1.1\r\nhost: a\r\n\r\n");
  server.closeClientConnections();
  await ended;
  expect(received.join("")).toMatch(/connection: close[^]*\/two$/i);
  server.close();
  server.closeConnections();
});

// Guards against a chunked upload of which the buffered part runs at a backend as if it were the whole.
test("the rest of a body whose request was answered before it was read is not taken for its end", async () => {
  let remainder: AsyncIterable<Uint8Array> | undefined;
  const server = new HttpServer(
    (clientRequest, client) => {
      remainder ??= clientRequest.bodyRemainder;
      client.respond({ code: 504, headers: {}, body: Buffer.from("late") });
    },
    { bufferWholeBodies: false },
  );
  const port = await freePort();
  await new Promise<void>((done, fail) => runTask(server.listen(`127.0.0.1:${port}`), fail, done));
  const received: string[] = [];
  const socket = connect(port, "127.0.0.1");
  socket.on("data", (bytes: Buffer) => received.push(bytes.toString()));
  const chunk = Buffer.alloc(300_000, "x");
  socket.write("POST / HTTP/1.1\r\nhost: a\r\ntransfer-encoding: chunked\r\n\r\n");
  for (let sent = 0; sent < 2; sent += 1) {
    socket.write(`${chunk.length.toString(16)}\r\n`);
    socket.write(chunk);
    socket.write("\r\n");
  }
  socket.write("0\r\n\r\nGET /next HTTP/1.1\r\nhost: a\r\n\r\n");
  await expect.poll(() => received.join("").split("HTTP/1.1 504").length).toBe(3);
  const readRemainder = async (): Promise<void> => {
    const chunks: Uint8Array[] = [];
    for await (const part of remainder ?? []) chunks.push(part);
  };
  await expect(readRemainder()).rejects.toThrow("answered before its body was read");
  socket.destroy();
  server.close();
  server.closeConnections();
});
