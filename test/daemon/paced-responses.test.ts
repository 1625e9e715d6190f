import { get } from "node:http";
import { expect, test } from "vitest";
import { HttpServer } from "../../src/daemon/http-server.js";
import { systemClock } from "../../src/runtime/clock.js";
import { LinkPacer, type Transfer, type TransferRank } from "../../src/runtime/link-pacer.js";
import { runTask } from "../../src/runtime/task.js";
import { freePort } from "./free-port.js";

const largeBytes = 120_000;
const linkMbps = 4;
/** Time to transfer the large body at 500 bytes per millisecond. */
const linkMs = largeBytes / 500;

const fetchBody = (port: number, path: string): Promise<{ bytes: number; tookMs: number }> =>
  new Promise((done, fail) => {
    const startedMs = performance.now();
    let bytes = 0;
    get({ host: "127.0.0.1", port, path, agent: false }, (response) => {
      response.on("data", (chunk: Buffer) => {
        bytes += chunk.length;
      });
      response.once("end", () => done({ bytes, tookMs: performance.now() - startedMs }));
    }).once("error", fail);
  });

test("large responses, buffered or streamed, take turns at the rate of the link; a short response does not wait for them", async () => {
  const clock = systemClock();
  const egress = new LinkPacer(clock, linkMbps);
  const server = new HttpServer(
    (clientRequest, client) => {
      const body = Buffer.alloc(clientRequest.target === "/short" ? 20 : largeBytes, "x");
      if (clientRequest.target !== "/streamed")
        return client.respond({ code: 200, headers: {}, body });
      client.writeHead(200, { "content-length": String(body.length) });
      runTask(
        (function* () {
          if (yield* client.writeChunk(body)) client.end();
        })(),
        () => client.abort(),
      );
    },
    { bufferWholeBodies: false, egress },
  );
  const port = await freePort();
  await new Promise<void>((done, fail) => runTask(server.listen(`127.0.0.1:${port}`), fail, done));
  const completedPaths: string[] = [];
  const fetchAndRecord = async (path: string): Promise<{ bytes: number; tookMs: number }> => {
    const outcome = await fetchBody(port, path);
    completedPaths.push(path);
    return outcome;
  };
  const large = [fetchAndRecord("/whole"), fetchAndRecord("/streamed")];
  await expect.poll(() => egress.estimateWaitMs(0), { timeout: 2000 }).toBeGreaterThan(linkMs);
  await expect.poll(() => server.unfinishedResponses, { timeout: 2000 }).toBe(2);
  expect(egress.queueMs).toBeLessThanOrEqual(30);
  expect((await fetchAndRecord("/short")).bytes).toBe(20);
  expect(completedPaths).toEqual(["/short"]);
  for (const { bytes, tookMs } of await Promise.all(large)) {
    expect(bytes).toBe(largeBytes);
    expect(tookMs).toBeGreaterThan(linkMs);
  }
  expect(server.unfinishedResponses).toBe(0);
  server.close();
  server.closeConnections();
});

test("a client that disconnects during a large response frees the link for other responses", async () => {
  const egress = new LinkPacer(systemClock(), linkMbps);
  const server = new HttpServer(
    (_clientRequest, client) =>
      client.respond({ code: 200, headers: {}, body: Buffer.alloc(largeBytes * 10, "x") }),
    { bufferWholeBodies: false, egress },
  );
  const port = await freePort();
  await new Promise<void>((done, fail) => runTask(server.listen(`127.0.0.1:${port}`), fail, done));
  await new Promise<void>((done) => {
    const request = get({ host: "127.0.0.1", port, agent: false }, (response) => {
      response.once("data", () => {
        request.destroy();
        done();
      });
    });
    request.once("error", () => undefined);
  });
  await expect.poll(() => server.unfinishedResponses, { timeout: 2000 }).toBe(0);
  expect(egress.estimateWaitMs(0)).toBeLessThan(100);
  server.close();
  server.closeConnections();
});

/** A pacer that records the class of each transfer. */
class RecordingPacer extends LinkPacer {
  readonly classes: string[] = [];

  override begin(rank: TransferRank, bytes = 0): Transfer {
    this.classes.push(rank.transferClass);
    return super.begin(rank, bytes);
  }
}

test("large responses of the admin API have the transfer class control, those to clients have the class response", async () => {
  const egress = new RecordingPacer(systemClock(), linkMbps * 100);
  const body = Buffer.alloc(largeBytes, "x");
  for (const transferClass of ["control", "response"] as const) {
    const server = new HttpServer(
      (_clientRequest, client) => client.respond({ code: 200, headers: {}, body }),
      {
        egress,
        transferClass,
      },
    );
    const port = await freePort();
    await new Promise<void>((done, fail) =>
      runTask(server.listen(`127.0.0.1:${port}`), fail, done),
    );
    expect((await fetchBody(port, "/config")).bytes).toBe(largeBytes);
    server.close();
    server.closeConnections();
  }
  expect(egress.classes).toEqual(["control", "response"]);
});

// Guards against responses that a stopping process holds back for the link until its grace period is over, and then cuts.
test("once the pacing ends, waiting responses are handed over at once, and the clients receive them whole", async () => {
  const egress = new LinkPacer(systemClock(), linkMbps);
  const server = new HttpServer(
    (_clientRequest, client) =>
      client.respond({ code: 200, headers: {}, body: Buffer.alloc(largeBytes, "x") }),
    { bufferWholeBodies: false, egress },
  );
  const port = await freePort();
  await new Promise<void>((done, fail) => runTask(server.listen(`127.0.0.1:${port}`), fail, done));
  const fetches = Array.from({ length: 20 }, () => fetchBody(port, "/whole"));
  await expect.poll(() => server.unfinishedResponses, { timeout: 2000 }).toBe(20);
  server.close();
  egress.release();
  for (const { bytes, tookMs } of await Promise.all(fetches)) {
    expect(bytes).toBe(largeBytes);
    expect(tookMs).toBeLessThan(linkMs * 20);
  }
  expect(server.unfinishedResponses).toBe(0);
  server.closeConnections();
});
