import { createServer } from "node:http";
import { expect, test } from "vitest";
import {
  BackendClient,
  SERVICE_PROOF_PATH,
  SERVICE_HEADER,
} from "../../../src/proxy/upstream/backend-client.js";
import { Clock } from "../../../src/runtime/clock.js";
import { Task } from "../../../src/runtime/task.js";

test("real connections: a request goes only where its service was proven, and not once it may no longer be sent", async () => {
  const seen: string[] = [];
  let service = "issues";
  let proofWaits: Array<() => void> | undefined;
  const open = async (port: number) => {
    const server = createServer((incoming, outgoing) => {
      if (incoming.url === SERVICE_PROOF_PATH) {
        const prove = (): unknown => outgoing.writeHead(204, { [SERVICE_HEADER]: service }).end();
        if (proofWaits) proofWaits.push(prove);
        else prove();
        return;
      }
      seen.push(`${service} ${incoming.url ?? ""}`);
      outgoing.end("whole");
    });
    await new Promise<void>((done) => server.listen(port, "127.0.0.1", done));
    const bound = server.address();
    return { server, port: bound !== null && typeof bound === "object" ? bound.port : 0 };
  };
  const ended = (server: {
    close: (done: () => void) => unknown;
    closeAllConnections: () => void;
  }) =>
    new Promise<void>((done) => {
      server.close(() => done());
      server.closeAllConnections();
    });
  const clock = Clock.real();
  const backendClient = BackendClient.http(clock);
  const first = await open(0);
  const address = `127.0.0.1:${first.port}`;
  const sending = (path: string, mayStill = (): boolean => true): Promise<string> =>
    new Promise((done, fail) =>
      Task.start(
        (function* () {
          const opened = yield* backendClient.send({
            address,
            service: "issues",
            pool: "one",
            request: { method: "GET", path, headers: {}, body: new Uint8Array() },
            untilMs: clock.nowMs() + 5000,
            maySend: mayStill,
          });
          if (typeof opened === "string") return opened;
          let text = "";
          for (;;) {
            const piece = yield* opened.next();
            if (typeof piece === "string") return `${text} ${piece}`;
            text += Buffer.from(piece).toString();
          }
        })(),
        fail,
        done,
      ),
    );
  expect(await sending("/1")).toBe("whole end");
  expect(await sending("/2")).toBe("whole end");
  await ended(first.server);
  service = "triage";
  const second = await open(first.port);
  await expect.poll(() => sending("/3"), { timeout: 20_000 }).toBe("foreign");
  await ended(second.server);
  await expect.poll(() => sending("/4"), { timeout: 20_000 }).toBe("refused");
  service = "issues";
  const third = await open(first.port);
  proofWaits = [];
  let isGranted = true;
  const slow = sending("/5", () => isGranted);
  await expect.poll(() => proofWaits?.length).toBe(1);
  isGranted = false;
  proofWaits[0]?.();
  expect(await slow).toBe("withdrawn");
  proofWaits = undefined;
  expect(await sending("/6")).toBe("whole end");
  backendClient.close();
  await ended(third.server);
  expect(seen).toEqual(["issues /1", "issues /2", "issues /6"]);
});
