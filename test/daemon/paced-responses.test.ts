import { createServer, get } from "node:http";
import { expect, test } from "vitest";
import { HttpServer } from "../../src/daemon/http-server.js";
import { systemClock } from "../../src/runtime/clock.js";
import { LinkPacer, type Transfer, type TransferRank } from "../../src/runtime/link-pacer.js";
import { runTask } from "../../src/runtime/task.js";

const freePort = (): Promise<number> =>
  new Promise((done, fail) => {
    const probe = createServer().listen(0, "127.0.0.1", () => {
      const bound = probe.address();
      probe.close(() => done(bound !== null && typeof bound === "object" ? bound.port : 0));
    });
    probe.once("error", fail);
  });

const largeBytes = 120_000;
const linkMbps = 4;
/** What the link takes the body in: 500 bytes a millisecond. */
const linkMs = largeBytes / 500;

const fetched = (port: number, path: string): Promise<{ bytes: number; tookMs: number }> =>
  new Promise((done, fail) => {
    const startedMs = performance.now();
    let bytes = 0;
    get({ host: "127.0.0.1", port, path, agent: false }, (response) => {
      response.on("data", (piece: Buffer) => {
        bytes += piece.length;
      });
      response.once("end", () => done({ bytes, tookMs: performance.now() - startedMs }));
    }).once("error", fail);
  });

test("large responses, held whole or streamed, leave at the rate of the link and take turns; a short one waits for none of them", async () => {
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
  const ended: string[] = [];
  const noted = async (path: string): Promise<{ bytes: number; tookMs: number }> => {
    const outcome = await fetched(port, path);
    ended.push(path);
    return outcome;
  };
  const large = [noted("/whole"), noted("/streamed")];
  await expect.poll(() => egress.estimateWaitMs(0), { timeout: 2000 }).toBeGreaterThan(linkMs);
  expect(server.unfinishedResponses).toBe(1);
  expect(egress.queueMs).toBeLessThanOrEqual(30);
  expect((await noted("/short")).bytes).toBe(20);
  expect(ended).toEqual(["/short"]);
  for (const { bytes, tookMs } of await Promise.all(large)) {
    expect(bytes).toBe(largeBytes);
    expect(tookMs).toBeGreaterThan(linkMs);
  }
  expect(server.unfinishedResponses).toBe(0);
  server.close();
  server.closeConnections();
});

test("a caller who hangs up in the middle of a large response frees the link for others", async () => {
  const egress = new LinkPacer(systemClock(), linkMbps);
  const server = new HttpServer(
    (_job, client) =>
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

/** A pacer that notes the class of each transfer. */
class NotingPacer extends LinkPacer {
  readonly classes: string[] = [];

  override begin(rank: TransferRank, bytes = 0): Transfer {
    this.classes.push(rank.transferClass);
    return super.begin(rank, bytes);
  }
}

test("large responses to operators are control traffic, those to callers are not", async () => {
  const egress = new NotingPacer(systemClock(), linkMbps * 100);
  const body = Buffer.alloc(largeBytes, "x");
  for (const transferClass of ["control", "response"] as const) {
    const server = new HttpServer(
      (_job, client) => client.respond({ code: 200, headers: {}, body }),
      {
        egress,
        transferClass,
      },
    );
    const port = await freePort();
    await new Promise<void>((done, fail) =>
      runTask(server.listen(`127.0.0.1:${port}`), fail, done),
    );
    expect((await fetched(port, "/config")).bytes).toBe(largeBytes);
    server.close();
    server.closeConnections();
  }
  expect(egress.classes).toEqual(["control", "response"]);
});
