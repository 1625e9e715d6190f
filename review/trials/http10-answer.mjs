import { dirname } from "node:path";
import { fileURLToPath } from "node:url";
import {
  runCase,
  send,
  newId,
  routeEntry,
  serviceEntry,
  limitsEntry,
  sleep,
  openConnection,
} from "../lib/deployment.mjs";
const folder = dirname(fileURLToPath(import.meta.url));
await runCase(folder, {}, async ({ deployment, record, hasTrouble }) => {
  await deployment.start(3);
  let garbled = false;
  const head = process.env.HEAD ?? "HTTP/1.0 200 OK\r\n";
  await deployment.putConfig([
    routeEntry("r-a", { host: "a.example", pfx: "/a/", kind: "download", svc: "arhiv" }),
    serviceEntry("arhiv"),
    limitsEntry(),
  ]);
  await deployment.awaitReady();
  await deployment.addServer({
    service: "arhiv",
    answer: (x) => {
      if (!garbled) {
        x.server.respond(x, Buffer.alloc(540_000, "x"));
        return true;
      }
      const s = x.response.socket;
      s.write(`${head}Try-Id: ${x.tryId}\r\nSeal: s\r\nContent-Length: 60000000\r\n\r\n`);
      s.write(Buffer.alloc(30_000_000, "x"));
      return true;
    },
  });
  await sleep(2500);
  const get = () =>
    send(deployment.machines[0].http, {
      path: "/a/1",
      headers: { host: "a.example", "try-id": newId(), "deadline-ms": "3000" },
      timeoutMs: 4000,
    });
  const first = await get();
  record.add("plain", { status: first.status, n: first.body?.length, e: first.error });
  garbled = hasTrouble;
  // slow reader
  for (let i = 0; i < 3; i++) {
    const s = await openConnection(deployment.machines[0].http);
    s.write(
      `GET /a/1 HTTP/1.1\r\nHost: a.example\r\nTry-Id: ${newId()}\r\nDeadline-Ms: 5000\r\n\r\n`,
    );
    s.once("data", (d) => {
      record.add("got", { head: String(d).slice(0, 200) });
      s.pause();
    });
    await sleep(1500);
    s.destroy();
    await sleep(1000);
  }
  const ends = deployment.machines.map((m) => m.ends.length);
  return ends.some((n) => n > 0) ? [`ends ${ends}`] : [];
});
