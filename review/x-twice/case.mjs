import { dirname } from "node:path";
import { fileURLToPath } from "node:url";
import { runCase, newId, routeEntry, serviceEntry, limitsEntry, sleep, send } from "../lib/deployment.mjs";
const folder = dirname(fileURLToPath(import.meta.url));
await runCase(folder, {}, async ({ deployment, record, hasTrouble }) => {
  await deployment.start(3);
  await deployment.putConfig([
    routeEntry("r-read", { host: "a.example", pfx: "/read/", kind: "safe", svc: "arhiv", deadline: "300ms", targetTime: "100ms" }),
    routeEntry("r-write", { host: "a.example", pfx: "/write/", kind: "unsafe", svc: "arhiv", deadline: "5s" }),
    serviceEntry("arhiv"), limitsEntry(),
  ]);
  await deployment.awaitReady();
  const runs = new Map();
  const surplus = new WeakMap();
  let full = false;
  for (let i = 0; i < 3; i++) await deployment.addServer({ service: "arhiv", answer: (x) => {
    const { socket } = x.response; socket.n ??= (globalThis.k = (globalThis.k ?? 0) + 1); record.add('req', { server: x.server.id, conn: socket.n, url: x.request.url, dl: x.request.headers['deadline-ms'], id: x.tryId }); if (!socket.w) { socket.w = 1; socket.on('close', () => record.add('sockclose', { conn: socket.n })); }
    if (surplus.get(socket)) { const text = surplus.get(socket); surplus.delete(socket); socket.write(text); record.add("surplus", { server: x.server.id, before: x.tryId }); }
    if (x.request.url.startsWith("/read/") && full) {
      setTimeout(() => {
        x.response.writeHead(503, { "not-run": "1", "content-length": "0" }).end();
        if (hasTrouble) surplus.set(socket, "HTTP/1.1 503 Service Unavailable\r\nNot-Run: 1\r\nContent-Length: 0\r\n\r\n");
      }, Number(x.request.headers["deadline-ms"]) + 5);
      return true;
    }
    if (x.request.url.startsWith("/write/")) { runs.set(x.tryId, [...(runs.get(x.tryId) ?? []), x.server.id]); record.add("runs", { id: x.tryId, server: x.server.id }); setTimeout(() => x.server.respond(x, Buffer.from("done")), 30); return true; }
    return false;
  }});
  await sleep(2500);
  const machine = deployment.machines[0];
  const headers = () => ({ host: "a.example", "try-id": newId(), "deadline-ms": "5000" });
  const broken = [];
  for (let round = 0; round < 10; round++) {
    full = true;
    const reads = await Promise.all(Array.from({ length: 6 }, () => send(machine.http, { path: "/read/1", headers: headers(), timeoutMs: 5000 })));
    full = false;
    await sleep(50);
    const ids = [];
    const writes = await Promise.all(Array.from({ length: 6 }, () => { const h = headers(); ids.push(h["try-id"]); return send(machine.http, { method: "POST", path: "/write/1", headers: h, body: "x", timeoutMs: 6000 }); }));
    record.add("round", { reads: reads.map((r) => r.status), writes: writes.map((w) => w.status) });
    ids.forEach((id, i) => { const n = runs.get(id)?.length ?? 0; if (n > 1) broken.push(`${id} ran ${n}`); if (n > 0 && [429, 503].includes(writes[i].status)) broken.push(`${id} ran and refused`); });
    await sleep(200);
  }
  return broken;
});
