import { createServer } from "node:http";
import { connect } from "node:net";
import { expect, test } from "vitest";
import { HttpServer } from "../../src/daemon/http-server.js";
import { Task } from "../../src/runtime/task.js";

test("a request that was sent over a kept connection right before the server began to part with its callers is answered", async () => {
  const server = new HttpServer((clientRequest, client) =>
    client.respond({ code: 200, headers: {}, body: Buffer.from(clientRequest.target) }),
  );
  const port = await new Promise<number>((done, fail) => {
    const probe = createServer().listen(0, "127.0.0.1", () => {
      const bound = probe.address();
      probe.close(() => done(bound !== null && typeof bound === "object" ? bound.port : 0));
    });
    probe.once("error", fail);
  });
  await new Promise<void>((done, fail) =>
    Task.start(server.listen(`127.0.0.1:${port}`), fail, done),
  );
  const heard: string[] = [];
  const socket = connect(port, "127.0.0.1");
  socket.on("data", (bytes: Buffer) => heard.push(bytes.toString()));
  const ended = new Promise<void>((done) => socket.once("close", () => done()));
  socket.write("GET /one HTTP/1.1\r\nhost: a\r\n\r\n");
  await expect.poll(() => heard.join("").includes("/one")).toBe(true);
  socket.write("GET /two HTTP/1.1\r\nhost: a\r\n\r\n");
  server.partWithCallers();
  await ended;
  expect(heard.join("")).toMatch(/connection: close[^]*\/two$/i);
  server.close();
  server.end();
});
