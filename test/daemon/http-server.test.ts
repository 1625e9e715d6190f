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
